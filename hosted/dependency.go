package hosted

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Dependency is something outside that is followed. Its loss and its return are one log
// line each, however often it is tried in between.
type Dependency struct{ lost atomic.Bool }

// Fails logs the loss.
func (d *Dependency) Fails(log zerolog.Logger, what string, err error) {
	if !d.lost.Swap(true) {
		log.Warn().Err(err).Str("of", what).Msg("lost")
	}
}

// Answers logs the return.
func (d *Dependency) Answers(log zerolog.Logger, what string) {
	if d.lost.Swap(false) {
		log.Info().Str("of", what).Msg("regained")
	}
}
