// Package view holds the part of a process's control state that queries may read.
package view

import (
	"verbenabank/core/command/raft"
	"verbenabank/core/state/fleet"
)

// View is the control state after an event was processed. It is immutable.
type View struct {
	fleet    *fleet.State
	status   raft.Status
	replica  bool
	sessions int
}

// Option sets one part of a View.
type Option func(*View)

// New returns the view of a process with the fleet state f, which is empty on daemons that are not
// control replicas.
func New(f *fleet.State, opts ...Option) *View {
	v := &View{fleet: f}
	for _, o := range opts {
		o(v)
	}
	return v
}

// WithStatus adds the status of the Raft node of a control replica.
func WithStatus(s raft.Status) Option {
	return func(v *View) { v.status, v.replica = s, true }
}

// WithSessions sets how many daemons have a session with this replica, which leads.
func WithSessions(count int) Option { return func(v *View) { v.sessions = count } }

// Fleet returns the fleet state as applied by this replica, which may lag behind the leader. It is empty
// on daemons that are not control replicas.
func (v *View) Fleet() *fleet.State { return v.fleet }

// Status returns the status of the Raft node, and whether this process is a control replica and has
// one.
func (v *View) Status() (raft.Status, bool) { return v.status, v.replica }

// Sessions returns how many daemons have a session with this replica, 0 if it does not lead.
func (v *View) Sessions() int { return v.sessions }
