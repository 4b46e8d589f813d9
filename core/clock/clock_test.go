package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBootClockIsMonotonic(t *testing.T) {
	is := is.New(t)
	c := New()
	before := c.Now()
	time.Sleep(3 * time.Millisecond)
	after := c.Now()
	is.True(before.Before(after))
	is.True(after.Sub(before) >= 2*Millisecond)
}

func TestManualOnlyAdvancesExplicitly(t *testing.T) {
	is := is.New(t)
	m := NewManual(5 * Second)
	c := New(WithSource(m.Now))
	is.Equal(c.Now(), 5*Second)
	m.Advance(250)
	is.Equal(c.Now(), 5*Second+250)
	is.Equal(Millis(250).Duration(), 250*time.Millisecond)
}
