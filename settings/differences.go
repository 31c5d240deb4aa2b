package settings

import "reflect"

// Differences returns the names of the sections in which two settings differ: changed lists
// those that a running process applies, restart those that need a restart.
func Differences[T any](old, next *T, reloadable map[string]bool) (changed, restart []string) {
	a, b := reflect.ValueOf(*old), reflect.ValueOf(*next)
	for i := range a.NumField() {
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		name := a.Type().Field(i).Tag.Get("yaml")
		if reloadable[name] {
			changed = append(changed, name)
		} else {
			restart = append(restart, name)
		}
	}
	return changed, restart
}
