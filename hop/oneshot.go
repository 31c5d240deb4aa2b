package hop

import "io"

// OneShot is a request body that net/http cannot rewind. If it could, the transport would
// retry a request when a keep-alive connection breaks, also one that must not run twice.
type OneShot struct{ io.Reader }

// Close implements io.Closer.
func (OneShot) Close() error { return nil }
