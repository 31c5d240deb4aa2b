package hop

import "io"

// OneShot is a body that net/http cannot send a second time by itself. With a body that it
// can rewind it would repeat requests on its own when a kept connection breaks, also those
// that must not run twice.
type OneShot struct{ io.Reader }

// Close implements io.Closer.
func (OneShot) Close() error { return nil }
