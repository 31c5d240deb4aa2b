// Package fielderrors collects the errors in a file, each with the path of its field, so
// that all of them are reported at once.
package fielderrors

import (
	"fmt"

	"github.com/zeebo/errs"
)

// List collects errors. The zero value is empty.
type List struct{ group errs.Group }

// Add adds an error of a field.
func (l *List) Add(field, format string, args ...any) {
	l.group.Add(fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
}

// Err returns all errors as one, nil if there are none.
func (l *List) Err() error { return l.group.Err() }
