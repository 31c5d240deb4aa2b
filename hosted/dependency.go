package hosted

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Dependency tracks whether an external dependency answers. Its loss and its recovery are logged
// once each, however many attempts fail in between.
type Dependency struct{ lost atomic.Bool }

// Fails records a failure and logs it if the dependency answered before.
func (d *Dependency) Fails(log zerolog.Logger, what string, err error) {
	if !d.lost.Swap(true) {
		log.Warn().Err(err).Str("of", what).Msg("lost")
	}
}

// Answers records a success and logs it if the dependency failed before.
func (d *Dependency) Answers(log zerolog.Logger, what string) {
	if d.lost.Swap(false) {
		log.Info().Str("of", what).Msg("regained")
	}
}
