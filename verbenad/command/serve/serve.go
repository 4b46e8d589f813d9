// Package serve builds a daemon from its settings, runs it and shuts it down gracefully.
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
	"verbenabank/core/command/leader"
	"verbenabank/core/query/picker"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/confjs"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/adapt/auth"
	"verbenabank/verbenad/adapt/front"
	"verbenabank/verbenad/adapt/grants"
	"verbenabank/verbenad/adapt/hop"
	"verbenabank/verbenad/adapt/link"
	"verbenabank/verbenad/adapt/machine"
	"verbenabank/verbenad/adapt/sock"
	"verbenabank/verbenad/command/ctrl"
	"verbenabank/verbenad/command/entry"
	"verbenabank/verbenad/command/memory"
	"verbenabank/verbenad/command/notice"
	"verbenabank/verbenad/command/owner"
	"verbenabank/verbenad/command/rooms"
	"verbenabank/verbenad/command/zones"
	"verbenabank/verbenad/query/admin"
	"verbenabank/verbenad/state/config"
)

const (
	// readTimeout bounds the time to read a request to the admin or readiness port, and idleTimeout the
	// time that a connection stays open without one.
	readTimeout = 5 * time.Second
	idleTimeout = 2 * time.Minute
)

// Daemon routes requests of callers, serves the local target to other daemons and, if the settings say so,
// is a control replica.
type Daemon struct {
	settings        atomic.Pointer[config.Settings]
	parseRules      func(content []byte) (rules.Rules, error)
	callerDialect   front.Dialect
	targetDialect   owner.Dialect
	grantDialect    grants.Dialect
	balancing       picker.Policy
	registerAdmin   func(r fiber.Router, api AdminAPI)
	leaderOptions   []leader.Option
	stopping        atomic.Bool
	droppedLogLines func() int64
	clock           *clock.Clock
	log             *logrus.Logger
	codec           *codec.Codec
	trust           *auth.Credentials
	cleanup         []func()
	ctx             context.Context
	group           conc.WaitGroup

	memory        *memory.Budget
	snapshots     *snap.Store
	target        *localTarget
	owner         *owner.Owner
	entry         *entry.Server
	front         *front.Server
	rooms         *rooms.Rooms // nil to let all requests compete alike
	seeds         *link.Addresses
	hopClient     *hop.Client
	uplink        *link.Uplink
	controlClient *link.Client
	lifecycle     *lifecycle
	loop          *ctrl.Loop
	peers         *grpc.Server
	admin         *fiber.App
	ready         *fiber.App

	callersPort, peersPort, adminPort, readyPort net.Listener
}

// New builds a daemon from the settings and opens its ports. The returned function releases its
// resources; it must be called after Run has returned.
func New(s config.Settings, log *logrus.Logger, opts ...Option) (*Daemon, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{clock: clock.New(), log: log, ctx: ctx, snapshots: snap.NewStore(), lifecycle: newLifecycle()}
	d.settings.Store(&s)
	d.memory = memory.New(memory.BudgetBytes(ProcessMB(s)))
	d.droppedLogLines = func() int64 { return 0 }
	d.balancing = picker.LeastLatency{}
	d.parseRules = func(content []byte) (rules.Rules, error) { return confjs.Decode("rules", content) }
	for _, o := range opts {
		o(d)
	}
	d.addCleanup(cancel)
	for _, build := range []func() error{d.listen, d.buildTrust, d.buildTraffic, d.buildControl, d.buildServers, d.watchFolder} {
		if err := build(); err != nil {
			d.close()
			return nil, nil, err
		}
	}
	return d, d.close, nil
}

// ProcessMB returns the memory in MB that a process with the settings may use.
func ProcessMB(s config.Settings) int64 { return memory.ProcessMB(s.MemoryMB(), machine.MemoryMB()) }

// addCleanup adds a function that close calls, in reverse order.
func (d *Daemon) addCleanup(f func()) { d.cleanup = append(d.cleanup, f) }

func (d *Daemon) close() {
	for i := len(d.cleanup) - 1; i >= 0; i-- {
		d.cleanup[i]()
	}
	d.group.Wait()
}

func (d *Daemon) logger() *logrus.Entry {
	return d.log.WithField("instance", d.settings.Load().Instance())
}

// addressText returns an address as "ip:port", or "" if it is not set.
func addressText(a netip.AddrPort) string {
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
		{addressText(d.settings.Load().CallersAddress()), &d.callersPort},
		{addressText(d.settings.Load().PeersAddress()), &d.peersPort},
		{addressText(d.settings.Load().AdminAddress()), &d.adminPort},
		{addressText(d.settings.Load().ReadyAddress()), &d.readyPort},
	}
	for _, p := range ports {
		if p.address == "" {
			continue
		}
		l, err := sock.Listen(p.address, sock.WithLog(d.logger()))
		if err != nil {
			return &Error{op: "listen on " + p.address, kind: ListenFailed, cause: err}
		}
		*p.port = l
		d.addCleanup(func() { _ = l.Close() })
	}
	return nil
}

func (d *Daemon) buildTrust() error {
	d.codec = codec.New(codec.WithRules(d.parseRules))
	t, err := auth.New(*d.settings.Load())
	d.trust = t
	return err
}

// post queues an event for the agent, which runs on the control goroutine.
func (d *Daemon) post(e agent.Event) { d.loop.Post(ctrl.NewAgentEvent(e)) }

func (d *Daemon) buildControl() error {
	replicas := make([]string, 0, len(d.settings.Load().Replicas()))
	for _, r := range d.settings.Load().Replicas() {
		replicas = append(replicas, r.String())
	}
	d.seeds = link.NewAddresses(replicas...)
	uplink, stop := link.NewUplink(d.seeds, d.trust.DialOptions(), d.codec, d.logger(),
		link.WithFleetSize(func() int { return d.snapshots.Load().Table().MemberCount() }))
	d.addCleanup(stop)
	d.uplink = uplink
	d.controlClient = link.NewClient(d.seeds, d.trust.DialOptions(), d.codec)
	a := agent.New(d.agentOptions()...)
	options := []ctrl.Option{
		ctrl.WithClock(d.clock, func() logcmd.Timestamp { return logcmd.Timestamp(time.Now().UnixMilli()) }),
		ctrl.WithCodec(d.codec), ctrl.WithLog(d.logger()), ctrl.WithAgent(a, d.snapshots),
		ctrl.WithTraffic(d.target, d.owner.InFlight()), ctrl.WithUplink(uplink), ctrl.WithMembers(otherMembers{client: d.hopClient, codec: d.codec}), ctrl.WithLifecycleObserver(d.lifecycle), ctrl.WithLeaseParams(d.leaseParams()),
	}
	if c, ok := d.settings.Load().Control(); ok {
		o, err := d.buildReplica(c, replicas)
		if err != nil {
			return err
		}
		options = append(options, o, ctrl.WithLeaderOptions(d.leaderOptions...))
	}
	d.loop = ctrl.New(options...)
	return nil
}

// connectionTimeout bounds the handshake of a connection from another process. A graceful shutdown
// waits for unfinished handshakes.
const connectionTimeout = time.Second

func (d *Daemon) buildServers() error {
	d.peers = grpc.NewServer(append(d.trust.ServerOptions(), grpc.InitialWindowSize(hop.WindowBytes), grpc.ConnectionTimeout(connectionTimeout),
		grpc.ChainUnaryInterceptor(d.recoverUnary), grpc.ChainStreamInterceptor(d.recoverStream))...)
	link.NewServer(d.loop, d.codec, d.logger()).Register(d.peers)
	wirepb.RegisterHopServer(d.peers, hop.NewServer(d.owner, hop.WithRules(d.clock, d.snapshots), hop.WithMemory(d.memory)))
	d.admin = fiber.New(fiber.Config{
		AppName: "verbenad", BodyLimit: maxAdminBodyBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		StreamRequestBody: true, ReadBufferSize: adminHeadBytes, Concurrency: maxAdminConnections,
		Immutable: true, // handlers pass on names that outlive the request
	})
	d.admin.Use(d.recoverAdmin, newBodies().receive)
	n := notice.New(d.post, notice.WithOnHeartbeat(d.target.RecordHeartbeat), notice.WithLog(d.logger()))
	d.lifecycle.notice = n
	n.Register(d.admin)
	zones.New(d.SetZoneDrain).Register(d.admin)
	s := d.settings.Load()
	a := admin.New(admin.WithInstance(s.Instance(), s.Zone()), admin.WithStopping(d.stopping.Load),
		admin.WithState(d.clock, d.snapshots, d.loop.View), admin.WithAudit(d.audit))
	a.Register(d.admin)
	d.ready = fiber.New(fiber.Config{
		AppName: "verbenad", BodyLimit: readyBodyBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, Concurrency: maxAdminConnections, Immutable: true,
	})
	a.RegisterReady(d.ready)
	if d.registerAdmin != nil {
		d.registerAdmin(d.admin, d)
	}
	publishGauges(d)
	return nil
}
