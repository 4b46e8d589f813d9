// Package trial measures a control group under the load of stand-in daemons.
package trial

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/confjs"
	"verbenabank/verbenad/adapt/auth"
	"verbenabank/verbenad/adapt/link"
	"verbenabank/vscale/adapt/iostat"
	"verbenabank/vscale/command/fake"
	"verbenabank/vscale/command/group"
	"verbenabank/vscale/state/figure"
)

// service is the service of all stand-in daemons.
const service = "stock"

// Size of the load reports of a stand-in daemon.
const (
	reportShards = 9
	reportKeys   = 8
)

// waitTimeout limits each wait for a state of the whole fleet.
const waitTimeout = 20 * time.Second

// Trial is a control group with a growing number of stand-in daemons. It is not safe
// for concurrent use.
type Trial struct {
	group      *group.Group
	clock      *clock.Clock
	codec      *codec.Codec
	log        *logrus.Entry
	standInLog *logrus.Entry
	client     *link.Client
	dial       []grpc.DialOption
	traffic    *iostat.Counter
	shards     int

	version uint64
	members *registry
	daemons []*fake.Daemon
	stops   []func()
	points  []figure.Point
}

// New proposes a first configuration, whose service has the given number of shards,
// and returns a trial on the group. The function that it returns stops the stand-in
// daemons, but not the group.
func New(g *group.Group, shards int, log, standInLog *logrus.Entry) (*Trial, func(), error) {
	t := &Trial{group: g, clock: clock.New(), log: log, standInLog: standInLog, traffic: &iostat.Counter{}, shards: shards, members: newRegistry()}
	t.codec = codec.New(codec.WithRules(func(content []byte) (rules.Rules, error) { return confjs.Decode("rules", content) }))
	credentials, err := auth.New(g.Settings())
	if err != nil {
		return nil, nil, fail("trust", NotReady, err)
	}
	t.dial = append(credentials.DialOptions(), grpc.WithContextDialer(t.traffic.Dial))
	t.client = link.NewClient(link.NewAddresses(g.PeersAddresses()...), credentials.DialOptions(), t.codec)
	if _, err := t.proposeRules(); err != nil {
		t.close()
		return nil, nil, err
	}
	return t, t.close, nil
}

func (t *Trial) close() {
	for _, stop := range t.stops {
		stop()
	}
}

// Points returns the measurements so far, also after an error.
func (t *Trial) Points() []figure.Point { return t.points }

func (t *Trial) record(name string, value float64) {
	t.points = append(t.points, figure.NewPoint(name, float64(len(t.daemons)), value))
}

// GrowTo starts stand-in daemons until there are count. It waits until all have leases,
// all shards have owners and no more commands are committed.
func (t *Trial) GrowTo(count int) error {
	begin := t.clock.Now()
	added := count - len(t.daemons)
	for i := len(t.daemons); i < count; i++ {
		address := fmt.Sprintf("127.40.%d.%d:8090", i/200+1, i%200+1)
		d, stop := fake.New(
			fake.WithInstance(fmt.Sprintf("stand-in-%04d", i), fmt.Sprintf("zone-%d", i%3+1), address, service), fake.WithMembers(t.members),
			fake.WithReplicas(t.group.PeersAddresses(), t.dial...), fake.WithCodec(t.codec),
			fake.WithLog(t.standInLog), fake.WithReport(reportShards, reportKeys))
		t.members.add(address, d)
		t.daemons, t.stops = append(t.daemons, d), append(t.stops, stop)
	}
	joined, err := t.awaitAll(func(ctx context.Context, d *fake.Daemon) (clock.Millis, error) { return d.AwaitLease(ctx, begin) })
	if err != nil {
		return err
	}
	granted, err := t.awaitAll(func(ctx context.Context, d *fake.Daemon) (clock.Millis, error) { return d.AwaitOwners(ctx, t.shards) })
	if err != nil {
		return err
	}
	if added > 0 {
		t.record("join: ms until all have leases, for each that joined", float64(joined.Sub(begin))/float64(added))
	}
	t.log.Infof("trial: %d stand-ins, %d shards: all have leases after %d ms, all shards have owners after %d ms",
		count, t.shards, joined.Sub(begin), granted.Sub(begin))
	return t.awaitQuiescence()
}

// awaitQuiescence waits until no command was committed for 1 s. It gives up after
// waitTimeout with a warning only, since the measurements are then just less exact.
func (t *Trial) awaitQuiescence() error {
	const pollInterval, stablePolls = 250 * time.Millisecond, 4
	leader, err := t.group.Leader()
	if err != nil {
		return err
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastIndex, unchanged := -1.0, 0
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline) && unchanged < stablePolls; <-ticker.C {
		m, err := leader.Metrics()
		if err != nil {
			return err
		}
		unchanged++
		if m.CommitIndex() != lastIndex {
			lastIndex, unchanged = m.CommitIndex(), 0
		}
	}
	if unchanged < stablePolls {
		t.log.Warn("trial: commands are still being committed; the measurements include them")
	}
	return nil
}

// awaitAll calls wait for each stand-in daemon, all under one timeout, and returns the
// latest time.
func (t *Trial) awaitAll(wait func(context.Context, *fake.Daemon) (clock.Millis, error)) (clock.Millis, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	latest := clock.Millis(0)
	for _, d := range t.daemons {
		at, err := wait(ctx, d)
		if err != nil {
			return 0, err
		}
		latest = max(latest, at)
	}
	return latest, nil
}
