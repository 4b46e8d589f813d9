// Package ledger holds what stand-in targets recorded: the executions of requests and the graceful
// shutdowns of targets.
package ledger

import "verbenabank/core/clock"

// Request is a request as the target received it. It is immutable.
type Request struct {
	id              string
	key             string
	method          string
	shard           uint32
	epoch           uint64
	leaseUntil      clock.Millis
	daemonRequestID string
}

// NewRequest returns a request. leaseUntil is the instant on the boot clock at which the owner's lease
// expires, 0 if the request carries none.
func NewRequest(id, key, method string, shard uint32, epoch uint64, leaseUntil clock.Millis) Request {
	return Request{id: id, key: key, method: method, shard: shard, epoch: epoch, leaseUntil: leaseUntil}
}

// WithDaemonRequestID returns a copy with the request ID that the daemon sent, by which it later extends the
// lease.
func (r Request) WithDaemonRequestID(id string) Request {
	r.daemonRequestID = id
	return r
}

// WithExtendedLease returns a copy whose lease lasts until an instant, or longer if it already did.
func (r Request) WithExtendedLease(until clock.Millis) Request {
	r.leaseUntil = max(r.leaseUntil, until)
	return r
}

// DaemonRequestID returns the request ID by which the daemon extends the lease, "" if none was sent.
func (r Request) DaemonRequestID() string { return r.daemonRequestID }

// ID returns the request ID that the load generator chose.
func (r Request) ID() string { return r.id }

// Key returns the routing key of the request.
func (r Request) Key() string { return r.key }

// Method returns the HTTP method.
func (r Request) Method() string { return r.method }

// Shard returns the shard that the daemon sent, 0 if none.
func (r Request) Shard() uint32 { return r.shard }

// Epoch returns the epoch of the shard that the daemon sent, 0 if none.
func (r Request) Epoch() uint64 { return r.epoch }

// LeaseUntil returns when the owner's lease expires, on the boot clock; 0 if the daemon sent none.
func (r Request) LeaseUntil() clock.Millis { return r.leaseUntil }

// Execution is one execution of a request on one target. It is immutable.
type Execution struct {
	request  Request
	service  string
	instance string
	boot     string
	begin    clock.Millis
	outcome  Outcome
}

// NewExecution returns an execution that began at an instant on the boot clock. The boot ID is unique to
// one start of the target process.
func NewExecution(r Request, service, instance, boot string, begin clock.Millis, outcome Outcome) Execution {
	return Execution{request: r, service: service, instance: instance, boot: boot, begin: begin, outcome: outcome}
}

// Request returns the request that was executed.
func (x Execution) Request() Request { return x.request }

// Service returns the name of the service of the target.
func (x Execution) Service() string { return x.service }

// Instance returns the name of the instance of the target.
func (x Execution) Instance() string { return x.instance }

// Boot returns the boot ID of the target, new at each start of the process.
func (x Execution) Boot() string { return x.boot }

// Begin returns when the execution began, on the boot clock.
func (x Execution) Begin() clock.Millis { return x.begin }

// Outcome returns how the execution ended.
func (x Execution) Outcome() Outcome { return x.outcome }

// MayHaveCommitted reports whether the execution committed or is in doubt.
func (x Execution) MayHaveCommitted() bool {
	switch x.outcome.(type) {
	case Committed, InDoubt:
		return true
	case Aborted:
		return false
	}
	return true
}

// End returns when the execution committed or aborted. For one in doubt it returns the begin, the last
// instant at which it is known to have run.
func (x Execution) End() clock.Millis {
	switch e := x.outcome.(type) {
	case Committed:
		return e.at
	case Aborted:
		return e.at
	case InDoubt:
		return x.begin
	}
	return x.begin
}

// Outcome says how an execution ended: Committed, Aborted or InDoubt.
type Outcome interface{ outcome() }

// Committed is the outcome of an execution that took effect.
type Committed struct{ at clock.Millis }

// NewCommitted returns the outcome of an execution that committed at an instant on the boot clock.
func NewCommitted(at clock.Millis) Committed { return Committed{at: at} }

// At returns when the execution committed.
func (c Committed) At() clock.Millis { return c.at }

// Aborted is the outcome of an execution without effect.
type Aborted struct{ at clock.Millis }

// NewAborted returns the outcome of an execution that was aborted at an instant on the boot clock.
func NewAborted(at clock.Millis) Aborted { return Aborted{at: at} }

// At returns when the execution was aborted.
func (a Aborted) At() clock.Millis { return a.at }

// InDoubt is the outcome of an execution whose end is not in the ledger, since its target was killed. It may have
// taken effect.
type InDoubt struct{}

func (Committed) outcome() {}
func (Aborted) outcome()   {}
func (InDoubt) outcome()   {}

// Shutdown is the start of a graceful shutdown of a target.
type Shutdown struct {
	boot string
	at   clock.Millis
}

// NewShutdown returns the shutdown that the target process with a boot ID announced at an instant on the
// boot clock.
func NewShutdown(boot string, at clock.Millis) Shutdown { return Shutdown{boot: boot, at: at} }

// Boot returns the boot ID of the target, new at each start of the process.
func (s Shutdown) Boot() string { return s.boot }

// At returns when the target announced its shutdown.
func (s Shutdown) At() clock.Millis { return s.at }

// Ledger is the joined records of all targets of a run.
type Ledger struct {
	executions []Execution
	shutdowns  []Shutdown
}

// New returns a ledger, which keeps the slices.
func New(executions []Execution, shutdowns []Shutdown) Ledger {
	return Ledger{executions: executions, shutdowns: shutdowns}
}

// Executions returns the executions. The caller must not change them.
func (l Ledger) Executions() []Execution { return l.executions }

// Shutdowns returns the graceful shutdowns. The caller must not change them.
func (l Ledger) Shutdowns() []Shutdown { return l.shutdowns }
