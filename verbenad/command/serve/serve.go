// Package serve builds a daemon from its settings, runs it and stops it
// gracefully.
package serve

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/confjs"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/adapt/front"
	"verbenabank/verbenad/adapt/hop"
	"verbenabank/verbenad/adapt/keeper"
	"verbenabank/verbenad/adapt/link"
	"verbenabank/verbenad/adapt/sock"
	"verbenabank/verbenad/adapt/trust"
	"verbenabank/verbenad/command/ctrl"
	"verbenabank/verbenad/command/entry"
	"verbenabank/verbenad/command/notice"
	"verbenabank/verbenad/command/owner"
	"verbenabank/verbenad/query/admin"
	"verbenabank/verbenad/state/config"
)

const (
	// callWithin bounds how long a call to the daemon itself may take to arrive, and idleWithin how
	// long its connection is kept without one.
	callWithin = 5 * time.Second
	idleWithin = 2 * time.Minute
)

// Daemon is one process of the system.
type Daemon struct {
	settings atomic.Pointer[config.Settings]
	parse    func(content []byte) (rules.Rules, error)
	callers  front.Dialect
	speech   owner.Dialect
	orders   keeper.Dialect
	register func(r fiber.Router, door AdminAPI)
	leaving  atomic.Bool
	dropped  func() int64
	clock    *clock.Clock
	log      *logrus.Logger
	codec    *codec.Codec
	trust    *trust.Trust
	cleanup  []func()
	life     context.Context
	group    conc.WaitGroup

	cell    *snap.Store
	sidecar *sidecar
	owner   *owner.Owner
	entry   *entry.Server
	front   *front.Server
	seeds   *link.Addresses
	hops    *hop.Client
	uplink  *link.Uplink
	client  *link.Client
	waiter  *waiter
	loop    *ctrl.Loop
	peers   *grpc.Server
	admin   *fiber.App
	ready   *fiber.App

	callersPort, peersPort, adminPort, readyPort net.Listener
}

// New builds the daemon of the settings and opens its ports. The clean-up function
// frees all it holds; it is to be called after Run.
func New(s config.Settings, log *logrus.Logger, opts ...Option) (*Daemon, func(), error) {
	life, cancel := context.WithCancel(context.Background())
	d := &Daemon{clock: clock.New(), log: log, life: life, cell: snap.NewStore(), waiter: newWaiter()}
	d.settings.Store(&s)
	d.dropped = func() int64 { return 0 }
	d.parse = func(content []byte) (rules.Rules, error) { return confjs.Decode("rules", content) }
	for _, o := range opts {
		o(d)
	}
	d.atEnd(cancel)
	for _, build := range []func() error{d.listen, d.buildTrust, d.buildTraffic, d.buildControl, d.buildServers, d.watchFolder} {
		if err := build(); err != nil {
			d.close()
			return nil, nil, err
		}
	}
	return d, d.close, nil
}

func (d *Daemon) atEnd(f func()) { d.cleanup = append(d.cleanup, f) }

func (d *Daemon) close() {
	for i := len(d.cleanup) - 1; i >= 0; i-- {
		d.cleanup[i]()
	}
	d.group.Wait()
}

func (d *Daemon) part() *logrus.Entry {
	return d.log.WithField("instance", d.settings.Load().Instance())
}

// address returns the text of an address, "" if it is not set.
func address(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func (d *Daemon) listen() error {
	ports := []struct {
		address string
		port    *net.Listener
	}{
		{address(d.settings.Load().CallersAddress()), &d.callersPort},
		{address(d.settings.Load().PeersAddress()), &d.peersPort},
		{address(d.settings.Load().AdminAddress()), &d.adminPort},
		{address(d.settings.Load().ReadyAddress()), &d.readyPort},
	}
	for _, p := range ports {
		if p.address == "" {
			continue
		}
		l, err := sock.Listen(p.address, sock.WithLog(d.part()))
		if err != nil {
			return &Error{op: "listen on " + p.address, kind: PortTaken, cause: err}
		}
		*p.port = l
		d.atEnd(func() { _ = l.Close() })
	}
	return nil
}

func (d *Daemon) buildTrust() error {
	d.codec = codec.New(codec.WithRules(d.parse))
	t, err := trust.New(*d.settings.Load())
	d.trust = t
	return err
}

// post hands an event to the agent.
func (d *Daemon) post(e agent.Event) { d.loop.Post(ctrl.NewAgentEvent(e)) }

func (d *Daemon) buildControl() error {
	replicas := make([]string, 0, len(d.settings.Load().Replicas()))
	for _, r := range d.settings.Load().Replicas() {
		replicas = append(replicas, r.String())
	}
	d.seeds = link.NewAddresses(replicas...)
	up, stop := link.NewUplink(d.seeds, d.trust.DialOptions(), d.codec, d.part())
	d.atEnd(stop)
	d.uplink = up
	d.client = link.NewClient(d.seeds, d.trust.DialOptions(), d.codec)
	a := agent.New(d.agentOptions()...)
	options := []ctrl.Option{
		ctrl.WithClock(d.clock, func() logcmd.Timestamp { return logcmd.Timestamp(time.Now().UnixMilli()) }),
		ctrl.WithCodec(d.codec), ctrl.WithLog(d.part()), ctrl.WithAgent(a, d.cell),
		ctrl.WithTraffic(d.sidecar, d.owner.InFlight()), ctrl.WithUplink(up), ctrl.WithLifecycleObserver(d.waiter), ctrl.WithLeaseParams(d.terms()),
	}
	if c, ok := d.settings.Load().Control(); ok {
		o, err := d.buildReplica(c, replicas)
		if err != nil {
			return err
		}
		options = append(options, o)
	}
	d.loop = ctrl.New(options...)
	return nil
}

// greetWithin bounds how long a connection of another process may take to be set up. A stop
// waits for those that are not.
const greetWithin = time.Second

func (d *Daemon) buildServers() error {
	d.peers = grpc.NewServer(append(d.trust.ServerOptions(), grpc.InitialWindowSize(hop.WindowBytes), grpc.ConnectionTimeout(greetWithin),
		grpc.ChainUnaryInterceptor(d.catchCall), grpc.ChainStreamInterceptor(d.catchStream))...)
	link.NewServer(d.loop, d.codec, d.part()).Register(d.peers)
	wirepb.RegisterHopServer(d.peers, hop.NewServer(d.owner))
	d.admin = fiber.New(fiber.Config{
		AppName: "verbenad", BodyLimit: adminBodyBytes, ReadTimeout: callWithin, IdleTimeout: idleWithin,
	})
	d.admin.Use(d.catchAdmin)
	n := notice.New(d.post, notice.WithOnHeartbeat(d.sidecar.Heard),
		notice.WithConfirmedPost(func(e agent.Event, done func()) { d.loop.Post(ctrl.NewAgentEvent(e).Then(done)) }))
	d.waiter.notice = n
	n.Register(d.admin)
	s := d.settings.Load()
	a := admin.New(admin.WithInstance(s.Instance(), s.Zone()), admin.WithStopping(d.leaving.Load),
		admin.WithState(d.clock, d.cell, d.loop.View), admin.WithAudit(d.audit))
	a.Register(d.admin)
	d.ready = fiber.New(fiber.Config{AppName: "verbenad", ReadTimeout: callWithin, IdleTimeout: idleWithin})
	a.RegisterReady(d.ready)
	if d.register != nil {
		d.register(d.admin, d)
	}
	publish(d)
	return nil
}
