package gateway

import (
	"strings"

	"github.com/arbutusmill/arbutusmill/settings"
)

// reloadableFields are the settings that a reload changes in a running process. All others
// determine addresses, connections or the layout of the store, and need a restart.
var reloadableFields = map[string]bool{"configuration": true, "repeats": true, "limits": true, "stop": true}

// Reload applies validated settings as far as possible in a running process, and logs those that
// need a restart.
func (g *Gateway) Reload(s *settings.Gateway) {
	changed, restart := settings.Differences(g.current.Load(), s, reloadableFields)
	g.current.Store(s)
	g.RecordReload("taken")
	g.Log.Info().Str("changed", strings.Join(changed, ",")).
		Str("needs_restart", strings.Join(restart, ",")).Msg("reloaded")
}

// ReloadRefused logs and counts that new settings are invalid; the current ones stay.
func (g *Gateway) ReloadRefused(err error) {
	g.RecordReload("refused")
	g.Log.Error().Err(err).Msg("reload_refused")
}
