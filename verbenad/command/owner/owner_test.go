package owner_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/command/owner"
)

const service = "catalogue"

// sender is a target in memory: it runs a request until told to go on.
type sender struct {
	started chan struct{}
	proceed chan struct{}
	running atomic.Int64
	count   atomic.Int64
	answer  func() call.Response
	dial    func()
}

func newSender() *sender {
	return &sender{started: make(chan struct{}, 1000), proceed: make(chan struct{}, 1000),
		answer: func() call.Response { return whole(200) }}
}

func whole(status int, fields ...call.Field) call.Response {
	return call.NewResponse(status, fields, io.NopCloser(strings.NewReader("")), 0)
}

func (s *sender) Send(ctx context.Context, w call.Attempt) call.Reply {
	defer w.Done()
	if s.dial != nil {
		s.dial()
	}
	if _, reason := w.Prepare(); reason != "" {
		return call.Refuse(reason)
	}
	s.count.Add(1)
	s.running.Add(1)
	defer s.running.Add(-1)
	s.started <- struct{}{}
	select {
	case <-s.proceed:
		return s.answer()
	case <-ctx.Done():
		return call.Unknown(result.Cancelled)
	}
}

type bench struct {
	clock  *clock.Manual
	cell   *snap.Store
	sender *sender
	owner  *owner.Owner
	rules  []rules.Option
}

func newBench(opts ...rules.Option) *bench {
	b := &bench{clock: clock.NewManual(1000), cell: snap.NewStore(), sender: newSender()}
	b.rules = append([]rules.Option{rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), 1))}, opts...)
	b.owner = owner.New(owner.WithClock(clock.New(clock.WithSource(b.clock.Now))), owner.WithStore(b.cell), owner.WithTarget(b.sender))
	b.publish(table.NewOwned(7, 3), 700)
	return b
}

func (b *bench) publish(h table.Ownership, lease clock.Millis, opts ...snap.Option) {
	t := table.Empty().With(1,
		table.NewRulesSet(rules.New(1, "", rules.NewService(service, b.rules...))),
		table.NewMemberSet(table.NewMember(7, "i", "z", "", service, table.Serving{})),
		table.NewOwnershipSet(service, 0, h))
	b.cell.Publish(snap.New(t, 7, b.clock.Now()+lease, b.clock.Now()+3000, opts...))
}

// closed says that the shard of the tests takes no new work.
func closed() snap.Option {
	return snap.WithDraining(map[snap.ShardRef]bool{snap.NewShardRef(service, 0): true})
}

func (b *bench) serve(ctx context.Context) string {
	r := call.NewRequest(service, "POST", "/catalogue/k", call.WithKey("k", 0), call.WithMember(7))
	return text(b.owner.Serve(ctx, r))
}

// begin serves a request on another goroutine and returns where its outcome comes.
func (b *bench) begin(ctx context.Context) <-chan string {
	done := make(chan string, 1)
	go func() { done <- b.serve(ctx) }()
	return done
}

func text(r call.Reply) string {
	switch r := r.(type) {
	case call.Response:
		_, err := io.ReadAll(r.Body())
		_ = r.Body().Close()
		if err != nil {
			return "unknown " + string(call.ReasonOf(err))
		}
		return "answered"
	case call.Failure:
		switch o := r.Outcome().(type) {
		case result.Refused:
			return "refused " + string(o.Reason())
		case result.Unknown:
			return "unknown " + string(o.Reason())
		case result.Answered:
		}
	}
	return ""
}

func TestLeaseLapsesWhileTheRequestWaits(t *testing.T) {
	is := is.New(t)
	b := newBench(rules.WithSlots(1), rules.WithQueue(5, 10_000))
	first := b.begin(context.Background())
	<-b.sender.started
	second := b.begin(context.Background())
	for b.owner.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.clock.Advance(700)
	b.sender.proceed <- struct{}{}
	is.Equal(<-first, "unknown lease-lapsed")
	is.Equal(<-second, "refused not-owner")
	is.Equal(b.sender.count.Load(), int64(1))
}

func TestLeaseLapsesWhileTheTargetIsDialled(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.sender.dial = func() { b.clock.Advance(700) }
	is.Equal(b.serve(context.Background()), "refused not-owner")
	is.Equal(b.sender.count.Load(), int64(0))
}

func TestLeaseLapsesWhileTheRequestRuns(t *testing.T) {
	is := is.New(t)
	b := newBench()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.owner.WatchLeases(ctx)
	done := b.begin(context.Background())
	<-b.sender.started
	b.clock.Advance(700)
	b.publish(table.NewOwned(8, 4), 700) // the lease is renewed, the shard is gone
	is.Equal(<-done, "unknown lease-lapsed")
	is.Equal(b.sender.running.Load(), int64(0)) // cancelled, not awaited
}

func TestAMovingShardIsServedUntilItCloses(t *testing.T) {
	is := is.New(t)
	b := newBench()
	close(b.sender.proceed)
	b.publish(table.NewMoving(7, 8, 3), 700)
	is.Equal(b.serve(context.Background()), "answered")
	b.publish(table.NewMoving(7, 8, 3), 700, closed())
	is.Equal(b.serve(context.Background()), "refused not-owner")
}

func TestAnswerWhileTheShardIsMovingStands(t *testing.T) {
	is := is.New(t)
	b := newBench()
	done := b.begin(context.Background())
	<-b.sender.started
	b.publish(table.NewMoving(7, 8, 3), 700, closed())
	is.Equal(b.serve(context.Background()), "refused not-owner")
	b.sender.proceed <- struct{}{}
	is.Equal(<-done, "answered")
}

func TestCheckedTargetsDecideThemselves(t *testing.T) {
	is := is.New(t)
	b := newBench(rules.WithFencing(rules.Checked{}))
	done := b.begin(context.Background())
	<-b.sender.started
	b.clock.Advance(700)
	b.sender.proceed <- struct{}{}
	is.Equal(<-done, "answered")
}

func TestWhatATargetsRefusalProves(t *testing.T) {
	stale := call.NewField("Verbena-Refused", "stale")
	for name, k := range map[string]struct {
		rule   rules.Option
		answer call.Response
		want   string
	}{
		"shed":              {rules.WithShedding(rules.ShedNotRun{}), whole(503), "refused shed"},
		"ambiguous shed":    {rules.WithShedding(rules.ShedAmbiguous{}), whole(503), "answered"},
		"stale":             {rules.WithFencing(rules.Checked{}), whole(412, stale), "refused not-owner"},
		"stale, unchecked":  {rules.WithFencing(rules.Unchecked{}), whole(412, stale), "answered"},
		"412 of the target": {rules.WithFencing(rules.Checked{}), whole(412), "answered"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(k.rule)
			b.sender.answer = func() call.Response { return k.answer }
			b.sender.proceed <- struct{}{}
			is.Equal(b.serve(context.Background()), k.want)
		})
	}
}

func TestQueueIsBoundedAndCancellable(t *testing.T) {
	is := is.New(t)
	b := newBench(rules.WithSlots(1), rules.WithQueue(1, 10_000))
	first := b.begin(context.Background())
	<-b.sender.started
	ctx, cancel := context.WithCancel(context.Background())
	second := b.begin(ctx)
	for b.owner.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(b.serve(context.Background()), "refused overloaded")
	cancel()
	is.Equal(<-second, "refused expired")
	is.Equal(b.owner.Waiting(), 0)
	b.sender.proceed <- struct{}{}
	is.Equal(<-first, "answered")
	is.Equal(b.owner.InFlight().Total(), 0)
}

// TestNothingRunsAfterARelease publishes a moving shard while requests stream in, and
// releases it when it is drained: from then on nothing may reach the target.
func TestNothingRunsAfterARelease(t *testing.T) {
	for range 200 {
		b := newBench(rules.WithSlots(8), rules.WithQueue(100, 10_000))
		close(b.sender.proceed)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range 20 {
					b.serve(context.Background())
				}
			})
		}
		released := make(chan struct{})
		var after int64
		b.publish(table.NewMoving(7, 8, 3), 700, closed())
		b.owner.InFlight().Drained(service, 0, func() {
			after = b.sender.count.Load()
			if b.sender.running.Load() != 0 {
				t.Error("released while a request runs")
			}
			close(released)
		})
		<-released
		wg.Wait()
		if got := b.sender.count.Load(); got != after {
			t.Fatalf("%d requests ran after the release", got-after)
		}
	}
}
