package settings

import "reflect"

// Differences names the sections of two settings of one type that differ: those that a
// running process takes, and those that need a restart.
func Differences[T any](old, next *T, live map[string]bool) (changed, restart []string) {
	a, b := reflect.ValueOf(*old), reflect.ValueOf(*next)
	for i := range a.NumField() {
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		name := a.Type().Field(i).Tag.Get("yaml")
		if live[name] {
			changed = append(changed, name)
		} else {
			restart = append(restart, name)
		}
	}
	return changed, restart
}
