package link

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"verbenabank/core/command/attach"
	"verbenabank/core/wire/wirepb"
)

// session is an open session with the leader.
type session struct {
	address string
	ctx     context.Context
	cancel  func()
	conn    *grpc.ClientConn
	stream  wirepb.Control_AttachClient
	welcome *wirepb.Welcome
}

func (s *session) close() {
	s.cancel()
	_ = s.conn.Close()
}

// opening is the result of an attempt: a session, or how it ended without one.
type opening struct {
	number  int
	address string
	session *session
	outcome attach.Outcome
}

// finder looks for the leader with several attempts at a time, as the plan says. It is used once.
type finder struct {
	uplink  *Uplink
	plan    *attach.Plan
	log     *search
	results chan opening
	timer   *time.Timer
	begun   int  // attempts, by which they are numbered
	open    int  // attempts without a result
	pending bool // the newest attempt is open and not overdue
}

func newFinder(u *Uplink, p *attach.Plan) *finder {
	return &finder{uplink: u, plan: p, log: newSearch(u.log), results: make(chan opening, attach.MaxOpen), timer: time.NewTimer(0)}
}

// find returns the first session that opens, and ends all other attempts. It reports false if ctx ends before.
func (f *finder) find(ctx context.Context) (*session, bool) {
	attempts, cancel := context.WithCancel(ctx)
	defer f.abandon(cancel)
	defer f.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case <-f.timer.C:
			f.next(ctx, attempts)
		case r := <-f.results:
			f.open--
			if r.session != nil {
				f.uplink.replicas.Learn(r.session.welcome.GetReplicas())
				f.log.found(r.address, f.plan.Tally())
				return r.session, true
			}
			f.ended(r)
		}
		f.log.report(f.plan.Tally())
	}
}

// abandon ends the open attempts, and closes sessions that they open all the same.
func (f *finder) abandon(cancel func()) {
	cancel()
	f.uplink.group.Go(func() {
		for range f.open {
			if r := <-f.results; r.session != nil {
				r.session.close()
			}
		}
	})
}

// next begins an attempt, or gives the newest one up as overdue.
func (f *finder) next(ctx, attempts context.Context) {
	switch {
	case f.pending:
		f.pending = false
		f.timer.Reset(f.plan.Overdue().Duration())
	case f.open < attach.MaxOpen:
		f.pending = true
		f.open++
		f.begun++
		address, number := f.plan.Next(f.uplink.replicas.List()), f.begun
		go func() {
			s, outcome := f.uplink.openSession(ctx, attempts, address)
			f.results <- opening{number: number, address: address, session: s, outcome: outcome}
		}()
		f.timer.Reset(attach.OverdueAfter.Duration())
	default:
		f.timer.Reset(attach.OverdueAfter.Duration())
	}
}

// ended takes the outcome of an attempt. One that was overdue matters only if it names the leader.
func (f *finder) ended(r opening) {
	_, redirected := r.outcome.(attach.Redirected)
	newest := f.pending && r.number == f.begun
	if !newest && !redirected {
		return
	}
	delay := f.plan.End(r.address, r.outcome)
	if newest || !f.pending {
		f.pending = false
		f.timer.Reset(delay.Duration())
	}
}

// openSession opens a session with one replica if that replica leads; otherwise it returns how the attempt ended. The
// attempt ends with attempts, the session with ctx.
func (u *Uplink) openSession(ctx, attempts context.Context, address string) (*session, attach.Outcome) {
	sessionCtx, cancel := context.WithCancel(ctx)
	conn, err := dial(address, append([]grpc.DialOption{connectWithin(attach.GiveUpAfter.Duration())}, u.options...))
	if err != nil {
		cancel()
		return nil, attach.Unconnected{}
	}
	s := &session{address: address, ctx: sessionCtx, cancel: cancel, conn: conn}
	limited, stop := context.WithTimeout(attempts, attach.GiveUpAfter.Duration())
	defer stop()
	release := context.AfterFunc(limited, cancel)
	outcome := s.open()
	if !release() && outcome == nil {
		outcome = attach.Unanswered{}
	}
	if outcome != nil {
		s.close()
		return nil, outcome
	}
	return s, nil
}

// open waits for the leader's welcome. It returns how the attempt ended if there is none.
func (s *session) open() attach.Outcome {
	stream, err := wirepb.NewControlClient(s.conn).Attach(withPacked(s.ctx))
	if err != nil {
		return attach.Unconnected{}
	}
	m, err := stream.Recv()
	if err != nil {
		return attach.Unanswered{}
	}
	if r := m.GetRedirect(); r != nil {
		return attach.NewRedirected(r.GetAddress())
	}
	if m.GetWelcome() == nil {
		return attach.Unanswered{}
	}
	s.stream, s.welcome = stream, m.GetWelcome()
	return nil
}
