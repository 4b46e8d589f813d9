package entry_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"google.golang.org/grpc"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/adapt/hop"
	"verbenabank/verbenad/adapt/target"
	"verbenabank/verbenad/command/entry"
	"verbenabank/verbenad/command/owner"
)

// daemon is one daemon without its control loop.
type daemon struct {
	cell   *snap.Store
	owner  *owner.Owner
	target *target.Target
	server *grpc.Server
	peers  string
	url    string
	self   table.Incarnation
	stop   func(ctx context.Context) error // of the entry
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// start runs a daemon as the incarnation self, before any table is published.
func start(t testing.TB, self table.Incarnation, opts ...entry.Option) *daemon {
	d := &daemon{cell: snap.NewStore(), self: self}
	var stop func()
	d.target, stop = target.New()
	t.Cleanup(stop)
	d.owner = owner.New(owner.WithStore(d.cell), owner.WithTarget(d.target))
	client, stopClient := hop.New()
	t.Cleanup(stopClient)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go client.WatchMembers(ctx, d.cell)
	d.server = grpc.NewServer(grpc.InitialWindowSize(hop.WindowBytes))
	wirepb.RegisterHopServer(d.server, hop.NewServer(d.owner))
	peers := listen(t)
	d.peers = peers.Addr().String()
	go func() { _ = d.server.Serve(peers) }()
	t.Cleanup(d.server.Stop)
	e := entry.New(append([]entry.Option{entry.WithStore(d.cell), entry.WithLocal(d.owner), entry.WithRemote(client),
		entry.WithInstance("instance", "zone")}, opts...)...)
	callers := listen(t)
	d.url, d.stop = "http://"+callers.Addr().String(), e.Shutdown
	go func() { _ = e.Serve(callers) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = e.Shutdown(ctx)
	})
	return d
}

// member returns the daemon as a serving member of the service.
func (d *daemon) member(service string) table.Change {
	return table.NewMemberSet(table.NewMember(d.self, "instance", "zone", d.peers, service, table.Serving{}))
}

// publish gives the daemon a table, with leases that end after a minute.
func (d *daemon) publish(t *table.Table, opts ...snap.Option) {
	now := clock.New().Now()
	d.cell.Publish(snap.New(t, d.self, now+clock.Minute, now+clock.Minute, opts...))
}

const keyed = "catalogue"

// ownedBy returns a table of one keyed service with one shard that o owns, which all
// members know.
func ownedBy(o *daemon, members []*daemon, opts ...rules.Option) *table.Table {
	opts = append([]rules.Option{rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), 1))}, opts...)
	changes := []table.Change{
		table.NewRulesSet(rules.New(1, "", rules.NewService(keyed, opts...))),
		table.NewOwnershipSet(keyed, 0, table.NewOwned(o.self, 1)),
	}
	for _, m := range members {
		changes = append(changes, m.member(keyed))
	}
	return table.Empty().With(1, changes...)
}

// pair starts an entry daemon and an owner of the only shard with a target at address.
func pair(t testing.TB, address string, opts ...rules.Option) (e, o *daemon) {
	e, o = start(t, 1), start(t, 2)
	o.target.Point(address)
	x := ownedBy(o, []*daemon{e, o}, opts...)
	e.publish(x)
	o.publish(x)
	return e, o
}

// outcome returns outcome and reason of a response.
func outcome(r *http.Response) string {
	s := r.Header.Get(entry.HeaderOutcome)
	if reason := r.Header.Get(entry.HeaderReason); reason != "" {
		s += " " + reason
	}
	return s
}
