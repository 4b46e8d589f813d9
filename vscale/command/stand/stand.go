// Package stand runs stand-in daemons: the control goroutine, the agent and the
// uplink of the real daemon, without traffic and without a target process.
package stand

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

// reportEvery is the time between two reports of load.
const reportEvery = time.Second

// Stand is one stand-in daemon. It is safe for concurrent use.
type Stand struct {
	name     string
	zone     string
	address  string
	service  string
	replicas []string
	dial     []grpc.DialOption
	codec    *codec.Codec
	log      *logrus.Entry
	shards   int
	keys     int

	clock *clock.Clock
	cell  *snap.Store
	loop  *ctrl.Loop
	group conc.WaitGroup
}

// Option sets one property of a Stand.
type Option func(*Stand)

// WithInstance sets the instance, its availability zone, the address that others
// are told, and the service of its target.
func WithInstance(name, zone, address, service string) Option {
	return func(s *Stand) { s.name, s.zone, s.address, s.service = name, zone, address, service }
}

// WithReplicas sets the control replicas and how they are reached.
func WithReplicas(addresses []string, options ...grpc.DialOption) Option {
	return func(s *Stand) { s.replicas, s.dial = addresses, options }
}

// WithCodec sets the encoding of messages.
func WithCodec(c *codec.Codec) Option { return func(s *Stand) { s.codec = c } }

// WithLog sets where the stand-in logs.
func WithLog(e *logrus.Entry) Option { return func(s *Stand) { s.log = e } }

// WithReport sets how many shards and how many hot keys each report of load has.
func WithReport(shards, keys int) Option {
	return func(s *Stand) { s.shards, s.keys = shards, keys }
}

// New starts a stand-in whose target is up. The clean-up function ends it at
// once, as a crash would.
func New(opts ...Option) (*Stand, func()) {
	s := &Stand{codec: codec.New(), log: logrus.NewEntry(logrus.StandardLogger()), clock: clock.New(), cell: snap.NewStore()}
	for _, o := range opts {
		o(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	up, stop := link.NewUplink(link.NewAddresses(s.replicas...), s.dial, s.codec, s.log)
	a := agent.New(agent.WithInstance(s.name, s.zone, s.address), agent.WithRandom(rand.Uint64))
	s.loop = ctrl.New(
		ctrl.WithClock(s.clock, func() logcmd.Timestamp { return 0 }), ctrl.WithCodec(s.codec), ctrl.WithLog(s.log),
		ctrl.WithAgent(a, s.cell), ctrl.WithTraffic(idle{}, idle{}), ctrl.WithUplink(up), ctrl.WithLifecycleObserver(idle{}))
	s.group.Go(func() { _ = s.loop.Run(ctx) })
	s.group.Go(func() { s.report(ctx) })
	up.Start(s.post)
	s.post(agent.NewAnnounced(s.service, s.address, s.name))
	return s, func() {
		cancel()
		stop()
		s.group.Wait()
	}
}

func (s *Stand) post(e agent.Event) { s.loop.Post(ctrl.NewAgentEvent(e)) }

// report tells the agent of load, as traffic would.
func (s *Stand) report(ctx context.Context) {
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.post(agent.NewLoadMeasured(s.measured()))
		}
	}
}

func (s *Stand) measured() load.Report {
	var shards []load.Shard
	for i := range s.shards {
		shards = append(shards, load.NewShard(table.Shard(i), 150, 300))
	}
	var keys []load.Key
	for i := range s.keys {
		keys = append(keys, load.NewKey("festoon-light-"+string(rune('a'+i)), 20))
	}
	return load.NewReport(shards, keys)
}

// Self returns the incarnation that the stand-in has now, 0 if it is not joined.
func (s *Stand) Self() table.Incarnation { return s.cell.Load().Self() }

// Leased waits until the stand-in has a lease by a renewal that it sent after
// the instant, and returns when.
func (s *Stand) Leased(ctx context.Context, after clock.Millis) (clock.Millis, error) {
	end := after.Add(lease.TTL - lease.Margin)
	return s.await(ctx, "lease", func(p *snap.Snapshot) bool { return p.LeaseEnd() > end })
}

// Ruled waits until a configuration of at least the version is in force here,
// and returns when.
func (s *Stand) Ruled(ctx context.Context, version uint64) (clock.Millis, error) {
	return s.await(ctx, "rules", func(p *snap.Snapshot) bool { return p.Table().Rules().Version() >= version })
}

// Granted waits until count shards of the service have an owner, and returns when.
func (s *Stand) Granted(ctx context.Context, count int) (clock.Millis, error) {
	return s.await(ctx, "grants", func(p *snap.Snapshot) bool { return len(p.Table().Shards(s.service)) >= count })
}

// await waits for a snapshot that fits.
func (s *Stand) await(ctx context.Context, operation string, fits func(*snap.Snapshot) bool) (clock.Millis, error) {
	for {
		p := s.cell.Load()
		if fits(p) {
			return s.clock.Now(), nil
		}
		select {
		case <-ctx.Done():
			return 0, &Error{operation: operation, kind: TooLate, instance: s.name}
		case <-p.Superseded():
		}
	}
}
