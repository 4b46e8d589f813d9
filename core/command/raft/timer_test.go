package raft

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
)

// TestElectionTimeoutsGrowWithTheFleet guards against a leader of hundreds of daemons that is deposed whenever it is
// busy for 150 ms: each change makes all daemons attach to the next leader, which keeps that one busy.
func TestElectionTimeoutsGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	is.Equal(TimeoutScale(0), 1)
	is.Equal(TimeoutScale(100), 1) // no change for the fleets of today
	is.Equal(TimeoutScale(281), 4)
	is.Equal(TimeoutScale(7200), 5)
	s := newSingleNode()
	s.node.SetTimeoutScale(4)
	s.node.resetElection()
	is.True(s.node.NextTick() >= s.now+4*ElectionTimeoutMin)
	s.now += 4*ElectionTimeoutMin - clock.Millisecond
	s.run(Ticked{})
	_, follows := s.node.Status().Role().(Follower)
	is.True(follows)
}
