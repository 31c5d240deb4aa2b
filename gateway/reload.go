package gateway

import (
	"reflect"
	"strings"

	"github.com/arbutusmill/arbutusmill/settings"
)

// liveFields are the settings that a reload changes in a running process. All others
// decide addresses, connections or the layout of the store, and need a restart.
var liveFields = map[string]bool{"repeats": true, "limits": true, "stop": true}

// Reload puts checked settings in force, as far as a running process can change.
func (g *Gateway) Reload(s *settings.Gateway) {
	changed, restart := differences(g.current.Load(), s)
	g.current.Store(s)
	g.metrics.reloaded("taken")
	g.log.Info().Str("changed", strings.Join(changed, ",")).
		Str("needs_restart", strings.Join(restart, ",")).Msg("reloaded")
}

// ReloadRefused notes settings that are wrong; those in force stay.
func (g *Gateway) ReloadRefused(err error) {
	g.metrics.reloaded("refused")
	g.log.Error().Err(err).Msg("reload_refused")
}

// differences names the sections that differ: those that changed with the reload, and
// those that change with the next start.
func differences(old, next *settings.Gateway) (changed, restart []string) {
	a, b := reflect.ValueOf(*old), reflect.ValueOf(*next)
	for i := range a.NumField() {
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		name := a.Type().Field(i).Tag.Get("yaml")
		if liveFields[name] {
			changed = append(changed, name)
		} else {
			restart = append(restart, name)
		}
	}
	return changed, restart
}
