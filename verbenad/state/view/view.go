// Package view holds what queries may know of the control state of a process.
package view

import (
	"verbenabank/core/command/raft"
	"verbenabank/core/state/fleet"
)

// View is the control state after one event. It is immutable.
type View struct {
	fleet    *fleet.State
	status   raft.Status
	replica  bool
	sessions int
}

// Option sets one part of a View.
type Option func(*View)

// New returns the view of a process with the fleet state f, which is empty on
// daemons that are no control replicas.
func New(f *fleet.State, opts ...Option) *View {
	v := &View{fleet: f}
	for _, o := range opts {
		o(v)
	}
	return v
}

// WithStatus makes it the view of a control replica.
func WithStatus(s raft.Status) Option {
	return func(v *View) { v.status, v.replica = s, true }
}

// WithSessions sets how many daemons have a session with this leader.
func WithSessions(count int) Option { return func(v *View) { v.sessions = count } }

// Fleet returns the state of this replica, empty on other daemons.
func (v *View) Fleet() *fleet.State { return v.fleet }

// Status returns the state of the replicated log and whether this process has
// one.
func (v *View) Status() (raft.Status, bool) { return v.status, v.replica }

// Sessions returns the count of daemons that have a session with this leader.
func (v *View) Sessions() int { return v.sessions }
