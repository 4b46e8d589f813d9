package admit

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/vload/state/ledger"
	"verbenabank/vload/state/server"
)

func newRequest(epoch uint64, lease clock.Millis) ledger.Request {
	return ledger.NewRequest("1", "tent", "POST", 3, epoch, lease)
}

func TestSlotsQueueAndShedding(t *testing.T) {
	is := is.New(t)
	c := New(server.New(server.WithSlots(1, 1)))
	is.Equal(c.Admit(1, newRequest(1, 0), 10), []Effect{Run{1, 10}})
	is.Equal(len(c.Admit(2, newRequest(1, 0), 11)), 0)
	is.Equal(c.Admit(3, newRequest(1, 0), 12), []Effect{Shed{3}})
	is.Equal(c.Commit(1, 13), []Effect{Commit{1, 13}, Run{2, 13}})
	is.Equal(len(c.Cancel(2, 14)), 0)
	is.Equal(c.Running()+c.Waiting(), 0)
}

func TestFencing(t *testing.T) {
	is := is.New(t)
	c := New(server.New(server.WithFencing(server.AtCommit{})))
	is.Equal(c.Admit(1, newRequest(2, 100), 50), []Effect{Run{1, 50}})
	is.Equal(c.Admit(2, newRequest(1, 100), 51), []Effect{Stale{2}})  // older epoch
	is.Equal(c.Admit(3, newRequest(2, 100), 100), []Effect{Stale{3}}) // expired lease
	is.Equal(c.Commit(1, 100), []Effect{Stale{1}})                    // frozen past its lease

	u := New(server.New())
	u.Admit(1, newRequest(2, 100), 50)
	is.Equal(u.Admit(2, newRequest(1, 100), 200), []Effect{Run{2, 200}}) // unfenced targets run it
}

func TestLeaseExtension(t *testing.T) {
	is := is.New(t)
	c := New(server.New(server.WithFencing(server.AtCommit{}), server.WithSlots(3, 1)))
	for n, id := range []string{"a", "b", "c", "d"} {
		c.Admit(Sequence(n+1), newRequest(2, 100).WithDaemonRequestID(id), 50)
	}
	c.ExtendLeases([]string{"a", "c", "d", "x"}, 200)
	c.ExtendLeases([]string{"c"}, 150)                                // a lease never gets shorter
	is.Equal(c.Commit(2, 150), []Effect{Stale{2}, Run{4, 150}})       // not extended
	is.Equal(c.Commit(1, 199), []Effect{Commit{1, 199}})              // extended
	is.Equal(c.Commit(3, 199), []Effect{Commit{3, 199}})              // the shorter extension had no effect
	c.ExtendLeases([]string{"d"}, 300)                                // handled after the target was frozen until 300
	is.Equal(c.Commit(4, 300), []Effect{Stale{4}})                    // the extended lease has expired
	is.Equal(c.Admit(5, newRequest(2, 100), 300), []Effect{Stale{5}}) // an extension holds for requests, not for shards
}
