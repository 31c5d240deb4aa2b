package hosted

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Dependency tracks whether an external dependency answers. Its loss and its recovery are logged
// once each, however many attempts fail in between.
type Dependency struct{ lost atomic.Bool }

// RecordFailure records a failure and logs it if the dependency answered before.
func (d *Dependency) RecordFailure(log zerolog.Logger, what string, err error) {
	if !d.lost.Swap(true) {
		log.Warn().Err(err).Str("of", what).Msg("lost")
	}
}

// RecordSuccess records a success and logs it if the dependency failed before.
func (d *Dependency) RecordSuccess(log zerolog.Logger, what string) {
	if d.lost.Swap(false) {
		log.Info().Str("of", what).Msg("regained")
	}
}
