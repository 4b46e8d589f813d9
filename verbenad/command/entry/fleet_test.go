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

// daemon is a daemon without its control loop; the test publishes its snapshots.
type daemon struct {
	store    *snap.Store
	owner    *owner.Owner
	target   *target.Target
	server   *grpc.Server
	peers    string // address for other daemons
	url      string
	self     table.Incarnation
	shutdown func(ctx context.Context) error // graceful shutdown of the HTTP server for callers
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// startDaemon starts a daemon as the incarnation self. It has no table until the test publishes one.
func startDaemon(t testing.TB, self table.Incarnation, opts ...entry.Option) *daemon {
	d := &daemon{store: snap.NewStore(), self: self}
	var stop func()
	d.target, stop = target.New()
	t.Cleanup(stop)
	d.owner = owner.New(owner.WithStore(d.store), owner.WithTarget(d.target))
	client, stopClient := hop.New()
	t.Cleanup(stopClient)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go client.WatchMembers(ctx, d.store)
	d.server = grpc.NewServer(grpc.InitialWindowSize(hop.WindowBytes))
	wirepb.RegisterHopServer(d.server, hop.NewServer(d.owner))
	peers := listen(t)
	d.peers = peers.Addr().String()
	go func() { _ = d.server.Serve(peers) }()
	t.Cleanup(d.server.Stop)
	e := entry.New(append([]entry.Option{entry.WithStore(d.store), entry.WithLocal(d.owner), entry.WithRemote(client),
		entry.WithInstance("instance", "zone")}, opts...)...)
	callers := listen(t)
	d.url, d.shutdown = "http://"+callers.Addr().String(), e.Shutdown
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

// publish publishes a snapshot of the table at the daemon, with leases of a minute.
func (d *daemon) publish(t *table.Table, opts ...snap.Option) {
	now := clock.New().Now()
	d.store.Publish(snap.New(t, d.self, now+clock.Minute, now+clock.Minute, opts...))
}

const keyedService = "catalogue"

// tableOwnedBy returns a table of one keyed service that all members serve, with one shard that o
// owns.
func tableOwnedBy(o *daemon, members []*daemon, opts ...rules.Option) *table.Table {
	opts = append([]rules.Option{rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), 1))}, opts...)
	changes := []table.Change{
		table.NewRulesSet(rules.New(1, "", rules.NewService(keyedService, opts...))),
		table.NewOwnershipSet(keyedService, 0, table.NewOwned(o.self, 1)),
	}
	for _, m := range members {
		changes = append(changes, m.member(keyedService))
	}
	return table.Empty().With(1, changes...)
}

// startPair starts a daemon that owns nothing and the owner of the only shard, whose target is at
// address.
func startPair(t testing.TB, address string, opts ...rules.Option) (e, o *daemon) {
	e, o = startDaemon(t, 1), startDaemon(t, 2)
	o.target.SetAddress(address)
	x := tableOwnedBy(o, []*daemon{e, o}, opts...)
	e.publish(x)
	o.publish(x)
	return e, o
}

// outcome returns the outcome and the reason in the header of a response.
func outcome(r *http.Response) string {
	s := r.Header.Get(entry.HeaderOutcome)
	if reason := r.Header.Get(entry.HeaderReason); reason != "" {
		s += " " + reason
	}
	return s
}
