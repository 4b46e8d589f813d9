package leader_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/leader"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

const (
	settledAt    = 8 * clock.Second
	saturatedLag = 100 * clock.Millisecond
)

// loseLeader runs a fleet that loses all replicas at once for 1.3 s, gets its next leader 1.5 s later, and then a new
// configuration every 700 ms. It returns when the new leader stands.
func loseLeader(d *delivery) clock.Millis {
	const off, election, interval, versions = 1340, 1500, 700, 8
	d.run(settledAt)
	d.powerOff()
	d.run(settledAt + off)
	d.powerOn()
	d.run(settledAt + off + election)
	d.elect(3)
	elected := d.now
	for v := range uint64(versions) {
		d.run(d.now + interval/7)
		d.accept(v + 2)
		d.run(d.now + interval)
	}
	d.run(d.now + 6000)
	return elected
}

// saturate makes each goroutine of a daemon wait for its turn, from when the fleet is settled on.
func (d *delivery) saturate(n int) { d.after(settledAt, func() { d.daemons[n].lag = saturatedLag }) }

// TestConfigurationReachesDaemonsWithoutALeader guards against a daemon that uses an old configuration for seconds after
// its successor was acknowledged: all replicas ended at once, and each daemon looks for the new leader with a processor
// that others may saturate with requests for popular keys, so that no attempt to open a session ends in time.
func TestConfigurationReachesDaemonsWithoutALeader(t *testing.T) {
	const bound = 2 * clock.Second // of the time from the acknowledgement to the use by all daemons
	for _, size := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(size, " daemons"), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(5) {
				d := newDelivery(seed, size)
				d.saturate(0)
				elected := loseLeader(d)
				is.Equal(d.violation, "")
				list := d.delays(elected)
				is.True(len(list) > 0)
				t.Logf("seed %d, %d deliveries, ms: p50 %d, p90 %d, p99 %d, max %d", seed, len(list),
					list[len(list)/2], list[len(list)*9/10], list[len(list)*99/100], list[len(list)-1])
				is.True(list[len(list)-1] <= bound)
			}
		})
	}
}

// disturb makes something happen to a fleet: a configuration, or the loss, the return or the change of a leader, or to one
// of its daemons the loss of its session, of its network to the replicas, of its process or of its processor time.
func (d *delivery) disturb(next *uint64) {
	s := d.daemons[d.rand.IntN(len(d.daemons))]
	switch d.rand.IntN(10) {
	case 0:
		d.powerOff()
	case 1:
		d.powerOn()
		d.elect(d.rand.IntN(replicaCount))
	case 2:
		s.disconnect()
	case 3:
		s.cut = !s.cut
	case 4:
		s.restart()
	case 5:
		s.lag = d.randomUpTo(saturatedLag)
	default:
		if d.leader != nil {
			*next++
			d.accept(*next)
		}
	}
}

// TestConfirmedRulesWereTheNewest plays random faults on a fleet whose daemons ask each other for rules. It guards against a
// daemon that goes back to an older version, or that takes rules for confirmed as of an instant at which a newer
// version had been accepted, over whatever number of members the confirmation came to it.
func TestConfirmedRulesWereTheNewest(t *testing.T) {
	is := is.New(t)
	byMembers := 0
	for seed := range uint64(60) {
		d, next := newDelivery(seed, 12), uint64(1)
		for range 120 {
			d.run(d.now + d.randomUpTo(600))
			d.disturb(&next)
		}
		is.Equal(d.violation, "")
		byMembers += d.byMembers
	}
	t.Logf("%d configurations came from other members", byMembers)
	is.True(byMembers > 100)
}

// TestSupersededConfigurationsAreNotSent guards against a daemon behind a slow link that gets each configuration of a
// series after the link was free again, with the newest one last.
func TestSupersededConfigurationsAreNotSent(t *testing.T) {
	is := is.New(t)
	d := newDelivery(1, 2)
	d.run(settledAt)
	for _, from := range []uint64{d.state.Table().Version(), 0} { // a daemon that lags, and one that joins
		d.accept(d.state.Table().Rules().Version() + 1)
		d.accept(d.state.Table().Rules().Version() + 1)
		newest := d.state.Table().Rules().Version()
		d.step(leader.NewSessionOpened(900))
		var sent []uint64
		for _, f := range d.leader.Step(d.now, leader.NewRenewRequested(900, d.daemons[0].snap.Self(), 1, from, nil, load.Report{})) {
			if u, ok := f.(leader.SendUpdate); ok {
				sent = append(sent, configurations(u.Update())...)
			}
		}
		is.Equal(sent, []uint64{newest})
	}
}

// configurations returns the versions that an update carries.
func configurations(u leader.Update) []uint64 {
	var list []uint64
	for _, c := range u.Changes() {
		if r, ok := c.(table.RulesSet); ok {
			list = append(list, r.Rules().Version())
		}
	}
	return list
}
