package gateway

import (
	"strings"

	"github.com/arbutusmill/arbutusmill/settings"
)

// liveFields are the settings that a reload changes in a running process. All others
// decide addresses, connections or the layout of the store, and need a restart.
var liveFields = map[string]bool{"repeats": true, "limits": true, "stop": true}

// Reload puts checked settings in force, as far as a running process can change.
func (g *Gateway) Reload(s *settings.Gateway) {
	changed, restart := settings.Differences(g.current.Load(), s, liveFields)
	g.current.Store(s)
	g.Reloaded("taken")
	g.Log.Info().Str("changed", strings.Join(changed, ",")).
		Str("needs_restart", strings.Join(restart, ",")).Msg("reloaded")
}

// ReloadRefused notes settings that are wrong; those in force stay.
func (g *Gateway) ReloadRefused(err error) {
	g.Reloaded("refused")
	g.Log.Error().Err(err).Msg("reload_refused")
}
