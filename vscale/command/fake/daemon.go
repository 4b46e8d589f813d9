// Package fake runs stand-in daemons: the control goroutine, agent and uplink of the
// real daemon, without traffic and without a target process.
package fake

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/core/wire/codec"
	"verbenabank/verbenad/adapt/link"
	"verbenabank/verbenad/command/ctrl"
)

// reportInterval is the interval of load reports.
const reportInterval = time.Second

// Daemon is a stand-in daemon. It is safe for concurrent use.
type Daemon struct {
	name         string
	zone         string
	address      string
	service      string
	replicas     []string
	dial         []grpc.DialOption
	codec        *codec.Codec
	log          *logrus.Entry
	reportShards int
	reportKeys   int
	members      ctrl.Members

	clock      *clock.Clock
	snapshots  *snap.Store
	loop       *ctrl.Loop
	goroutines conc.WaitGroup
}

// Option sets one property of a Daemon.
type Option func(*Daemon)

// WithInstance sets the instance, its availability zone, the advertised address, and
// the service of its target.
func WithInstance(name, zone, address, service string) Option {
	return func(d *Daemon) { d.name, d.zone, d.address, d.service = name, zone, address, service }
}

// WithReplicas sets the addresses of the control replicas, and the options of the
// connections to them.
func WithReplicas(addresses []string, options ...grpc.DialOption) Option {
	return func(d *Daemon) { d.replicas, d.dial = addresses, options }
}

// WithCodec sets the codec of messages; by default it is codec.New().
func WithCodec(c *codec.Codec) Option { return func(d *Daemon) { d.codec = c } }

// WithLog sets the logger; by default it is the standard one of logrus.
func WithLog(e *logrus.Entry) Option { return func(d *Daemon) { d.log = e } }

// WithReport sets the number of shards and of hot keys in each load report.
func WithReport(shards, keys int) Option {
	return func(d *Daemon) { d.reportShards, d.reportKeys = shards, keys }
}

// WithMembers sets how other daemons are asked for rules; by default they are not asked.
func WithMembers(m ctrl.Members) Option { return func(d *Daemon) { d.members = m } }

// New starts a stand-in daemon whose target is up. The function that it returns stops
// it without a handover or leaving the group, as a crash would.
func New(opts ...Option) (*Daemon, func()) {
	d := &Daemon{codec: codec.New(), log: logrus.NewEntry(logrus.StandardLogger()), clock: clock.New(), snapshots: snap.NewStore()}
	for _, o := range opts {
		o(d)
	}
	ctx, cancel := context.WithCancel(context.Background())
	uplink, stop := link.NewUplink(link.NewAddresses(d.replicas...), d.dial, d.codec, d.log)
	a := agent.New(agent.WithInstance(d.name, d.zone, d.address), agent.WithRandom(rand.Uint64))
	d.loop = ctrl.New(
		ctrl.WithClock(d.clock, func() logcmd.Timestamp { return 0 }), ctrl.WithCodec(d.codec), ctrl.WithLog(d.log),
		ctrl.WithAgent(a, d.snapshots), ctrl.WithTraffic(noTraffic{}, noTraffic{}), ctrl.WithUplink(uplink), ctrl.WithMembers(d.members), ctrl.WithLifecycleObserver(noTraffic{}))
	d.goroutines.Go(func() { _ = d.loop.Run(ctx) })
	d.goroutines.Go(func() { d.reportLoad(ctx) })
	uplink.Start(d.post)
	d.post(agent.NewAnnounced(d.service, d.address, d.name))
	return d, func() {
		cancel()
		stop()
		d.goroutines.Wait()
	}
}

func (d *Daemon) post(e agent.Event) { d.loop.Post(ctrl.NewAgentEvent(e)) }

// reportLoad sends the agent load reports in place of the traffic side.
func (d *Daemon) reportLoad(ctx context.Context) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.post(agent.NewLoadMeasured(d.loadReport()))
		}
	}
}

func (d *Daemon) loadReport() load.Report {
	var shards []load.Shard
	for i := range d.reportShards {
		shards = append(shards, load.NewShard(table.Shard(i), 150, 300))
	}
	var keys []load.Key
	for i := range d.reportKeys {
		keys = append(keys, load.NewKey("festoon-light-"+string(rune('a'+i)), 20))
	}
	return load.NewReport(shards, keys)
}

// Incarnation returns the current incarnation, 0 if the daemon is not a member.
func (d *Daemon) Incarnation() table.Incarnation { return d.snapshots.Load().Self() }

// AnswerRules answers another daemon that asks for rules.
func (d *Daemon) AnswerRules(q agent.AskRules) agent.RulesAnswered {
	return agent.AnswerRules(q, d.snapshots.Load(), d.clock.Now())
}

// AwaitLease waits for a lease by a renewal that was sent later than after, and
// returns the time at which it was seen.
func (d *Daemon) AwaitLease(ctx context.Context, after clock.Millis) (clock.Millis, error) {
	end := after.Add(lease.TTL - lease.Margin)
	return d.await(ctx, "lease", func(s *snap.Snapshot) bool { return s.LeaseEnd() > end })
}

// AwaitRules waits until the daemon has a configuration of at least the version, and
// returns the time.
func (d *Daemon) AwaitRules(ctx context.Context, version uint64) (clock.Millis, error) {
	return d.await(ctx, "rules", func(s *snap.Snapshot) bool { return s.Table().Rules().Version() >= version })
}

// AwaitOwners waits until at least count shards of the service have an owner, and
// returns the time.
func (d *Daemon) AwaitOwners(ctx context.Context, count int) (clock.Millis, error) {
	return d.await(ctx, "grants", func(s *snap.Snapshot) bool { return len(s.Table().Shards(d.service)) >= count })
}

// await waits for a snapshot that matches.
func (d *Daemon) await(ctx context.Context, operation string, match func(*snap.Snapshot) bool) (clock.Millis, error) {
	for {
		s := d.snapshots.Load()
		if match(s) {
			return d.clock.Now(), nil
		}
		select {
		case <-ctx.Done():
			return 0, &Error{operation: operation, kind: TimedOut, instance: d.name}
		case <-s.Superseded():
		}
	}
}
