// Package fielderrors collects what is wrong with a file, each with the field's path, so
// that its author sees all of it at once.
package fielderrors

import (
	"fmt"

	"github.com/zeebo/errs"
)

// List is the errors found so far. The zero value is empty.
type List struct{ group errs.Group }

// Add notes what is wrong with a field.
func (l *List) Add(field, format string, args ...any) {
	l.group.Add(fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
}

// Err returns all of them as one error, nil if there are none.
func (l *List) Err() error { return l.group.Err() }
