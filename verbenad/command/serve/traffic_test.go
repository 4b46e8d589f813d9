package serve

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/verbenad/state/config"
)

// TestKeysOfADrainedZoneEndBeforeTheLimit guards against a daemon that admits requests until the very end of
// zone_drain_ms, so that the last ones reach the target later; also if the settings leave the time to its default of 5 s.
func TestKeysOfADrainedZoneEndBeforeTheLimit(t *testing.T) {
	is := is.New(t)
	for set, want := range map[clock.Millis]clock.Millis{0: 4700, 5000: 4700, 2000: 1700, 100: 1} {
		is.Equal(zoneDrainLimit(config.Timings{}.WithZoneDrain(set)), want)
	}
}
