package mirror

import "github.com/zeebo/errs"

// ErrCut says that a watch ended; the keys are read again.
var ErrCut = errs.New("watch was cut")
