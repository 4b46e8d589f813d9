package admit

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/vload/state/ledger"
	"verbenabank/vload/state/server"
)

func order(epoch uint64, lease clock.Millis) ledger.Request {
	return ledger.NewRequest("1", "tent", "POST", 3, epoch, lease)
}

func TestSlotsBacklogAndShedding(t *testing.T) {
	is := is.New(t)
	d := New(server.New(server.WithSlots(1, 1)))
	is.Equal(d.Arrive(1, order(1, 0), 10), []Effect{Run{1, 10}})
	is.Equal(len(d.Arrive(2, order(1, 0), 11)), 0)
	is.Equal(d.Arrive(3, order(1, 0), 12), []Effect{Shed{3}})
	is.Equal(d.Commit(1, 13), []Effect{Commit{1, 13}, Run{2, 13}})
	is.Equal(len(d.Withdraw(2, 14)), 0)
	is.Equal(d.Running()+d.Waiting(), 0)
}

func TestFencing(t *testing.T) {
	is := is.New(t)
	d := New(server.New(server.WithFencing(server.AtCommit{})))
	is.Equal(d.Arrive(1, order(2, 100), 50), []Effect{Run{1, 50}})
	is.Equal(d.Arrive(2, order(1, 100), 51), []Effect{Stale{2}})  // older epoch
	is.Equal(d.Arrive(3, order(2, 100), 100), []Effect{Stale{3}}) // lapsed lease
	is.Equal(d.Commit(1, 100), []Effect{Stale{1}})                // frozen past its lease

	u := New(server.New())
	u.Arrive(1, order(2, 100), 50)
	is.Equal(u.Arrive(2, order(1, 100), 200), []Effect{Run{2, 200}}) // unfenced targets run it
}

func TestExtension(t *testing.T) {
	is := is.New(t)
	d := New(server.New(server.WithFencing(server.AtCommit{}), server.WithSlots(3, 1)))
	for n, handle := range []string{"a", "b", "c", "d"} {
		d.Arrive(Sequence(n+1), order(2, 100).WithDaemonRequestID(handle), 50)
	}
	d.Extend([]string{"a", "c", "d", "x"}, 200)
	d.Extend([]string{"c"}, 150)                                  // a lease never ends earlier
	is.Equal(d.Commit(2, 150), []Effect{Stale{2}, Run{4, 150}})   // not extended
	is.Equal(d.Commit(1, 199), []Effect{Commit{1, 199}})          // extended
	is.Equal(d.Commit(3, 199), []Effect{Commit{3, 199}})          // extended, then with an earlier end
	d.Extend([]string{"d"}, 300)                                  // read after a freeze until 300
	is.Equal(d.Commit(4, 300), []Effect{Stale{4}})                // its end is past
	is.Equal(d.Arrive(5, order(2, 100), 300), []Effect{Stale{5}}) // extensions are for requests, not for shards
}
