package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAttemptsToAttachDoNotGrowWithTheFleet guards against daemons that keep the replicas from electing a leader:
// hundreds of daemons that each open a connection every 80 ms take more processor time than small replicas have.
func TestAttemptsToAttachDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{12, 68, 281} {
		total := time.Duration(0)
		const attempts = 200
		for range attempts {
			total += attachDelay(maxAttachDoublings, size)
		}
		perSecond := float64(size) / (total / attempts).Seconds()
		is.True(perSecond <= 440)
	}
	is.True(attachLimit(12) == 80*time.Millisecond) // small fleets find a new leader as soon as before
	is.True(attachLimit(0) > attachLimit(68))       // a daemon without a table may be one of many
	is.True(attachLimit(7200) == 800*time.Millisecond)
}
