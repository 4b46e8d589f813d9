// Package serve builds a daemon from its settings, runs it and stops it
// gracefully.
package serve

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/state/order"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/confjs"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/adapt/extend"
	"verbenabank/verbenad/adapt/hop"
	"verbenabank/verbenad/adapt/link"
	"verbenabank/verbenad/adapt/probe"
	"verbenabank/verbenad/adapt/target"
	"verbenabank/verbenad/adapt/trust"
	"verbenabank/verbenad/command/ctrl"
	"verbenabank/verbenad/command/entry"
	"verbenabank/verbenad/command/notice"
	"verbenabank/verbenad/command/owner"
	"verbenabank/verbenad/query/admin"
	"verbenabank/verbenad/state/sets"
)

// Daemon is one process of the system.
type Daemon struct {
	settings sets.Settings
	clock    *clock.Clock
	log      *logrus.Logger
	codec    *codec.Codec
	trust    *trust.Trust
	cleanup  []func()
	life     context.Context
	group    conc.WaitGroup

	cell    *snap.Cell
	sidecar *sidecar
	owner   *owner.Owner
	entry   *entry.Entry
	hops    *hop.Client
	uplink  *link.Uplink
	client  *link.Client
	waiter  *waiter
	loop    *ctrl.Loop
	peers   *grpc.Server
	admin   *fiber.App

	callersPort, peersPort, adminPort net.Listener
}

// New builds the daemon of the settings and opens its ports. The clean-up function
// frees all it holds; it is to be called after Run.
func New(s sets.Settings, log *logrus.Logger) (*Daemon, func(), error) {
	life, cancel := context.WithCancel(context.Background())
	d := &Daemon{settings: s, clock: clock.New(), log: log, life: life, cell: snap.NewCell(), waiter: newWaiter()}
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

func (d *Daemon) part() *logrus.Entry { return d.log.WithField("instance", d.settings.Instance()) }

func (d *Daemon) listen() error {
	ports := []struct {
		address string
		port    *net.Listener
	}{
		{d.settings.Callers().String(), &d.callersPort},
		{d.settings.Peers().String(), &d.peersPort},
		{d.settings.Admin().String(), &d.adminPort},
	}
	for _, p := range ports {
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			return &Error{op: "listen on " + p.address, kind: PortTaken, cause: err}
		}
		*p.port = l
		d.atEnd(func() { _ = l.Close() })
	}
	return nil
}

func (d *Daemon) buildTrust() error {
	d.codec = codec.New(codec.WithRules(func(content []byte) (rules.Rules, error) {
		return confjs.Decode("rules", content)
	}))
	t, err := trust.New(d.settings)
	d.trust = t
	return err
}

func (d *Daemon) buildTraffic() error {
	t, stop := target.New()
	d.atEnd(stop)
	x, stopExtender := extend.New()
	d.atEnd(stopExtender)
	d.sidecar = newSidecar(d.clock, t, x)
	p, stopProbe := probe.New(probe.WithClock(d.clock), probe.WithLog(d.part()),
		probe.WithAnswered(d.sidecar.Answered), probe.WithPost(d.post))
	d.atEnd(stopProbe)
	d.sidecar.probe = p
	d.owner = owner.New(owner.WithClock(d.clock), owner.WithCell(d.cell), owner.WithTarget(d.sidecar),
		owner.WithExtender(x))
	client, stopClient := hop.New(hop.WithDialOptions(d.trust.DialOptions()...))
	d.atEnd(stopClient)
	d.hops = client
	d.entry = entry.New(entry.WithClock(d.clock), entry.WithCell(d.cell), entry.WithLocal(d.owner),
		entry.WithRemote(client), entry.WithInstance(d.settings.Instance(), d.settings.Zone()))
	return nil
}

// post hands an event to the agent.
func (d *Daemon) post(e agent.Event) { d.loop.Post(ctrl.NewLocal(e)) }

func (d *Daemon) buildControl() error {
	replicas := make([]string, 0, len(d.settings.Replicas()))
	for _, r := range d.settings.Replicas() {
		replicas = append(replicas, r.String())
	}
	up, stop := link.NewUplink(replicas, d.trust.DialOptions(), d.codec, d.part())
	d.atEnd(stop)
	d.uplink = up
	d.client = link.NewClient(replicas, d.trust.DialOptions(), d.codec)
	a := agent.New(agent.WithInstance(d.settings.Instance(), d.settings.Zone(), d.settings.Advertised().String()),
		agent.WithRandom(rand.Uint64))
	options := []ctrl.Option{
		ctrl.WithClock(d.clock, func() order.Stamp { return order.Stamp(time.Now().UnixMilli()) }),
		ctrl.WithCodec(d.codec), ctrl.WithLog(d.part()), ctrl.WithAgent(a, d.cell),
		ctrl.WithTraffic(d.sidecar, d.owner.Flight()), ctrl.WithUplink(up), ctrl.WithWaiter(d.waiter),
	}
	if c, ok := d.settings.Control(); ok {
		o, err := d.buildReplica(c, replicas)
		if err != nil {
			return err
		}
		options = append(options, o)
	}
	d.loop = ctrl.New(options...)
	return nil
}

func (d *Daemon) buildServers() error {
	d.peers = grpc.NewServer(append(d.trust.ServerOptions(), grpc.InitialWindowSize(hop.WindowBytes))...)
	link.NewServer(d.loop, d.codec, d.part()).Register(d.peers)
	wirepb.RegisterHopServer(d.peers, hop.NewServer(d.owner))
	d.admin = fiber.New(fiber.Config{AppName: "verbenad", BodyLimit: adminBodyBytes})
	n := notice.New(d.post)
	d.waiter.notice = n
	n.Register(d.admin)
	admin.New(admin.WithInstance(d.settings.Instance(), d.settings.Zone()),
		admin.WithState(d.clock, d.cell, d.loop.View), admin.WithAudit(d.audit)).Register(d.admin)
	publish(d)
	return nil
}
