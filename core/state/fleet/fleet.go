// Package fleet holds the replicated state of the control group: the routing
// table, the origin of its rules, and the audit trail.
package fleet

import (
	"cmp"
	"slices"

	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// AuditLimit is how many audit records are kept of each class: changes requested by operators,
// and changes made by the control group itself. The limits are separate so that frequent
// moves of shards do not push out the records of operators.
const AuditLimit = 10_000

// Control is the author of changes made by the control group itself.
const Control = "control"

// State is the state after one log entry. It is an immutable value; the next state is derived
// with With.
type State struct {
	index            uint64
	table            *table.Table
	origin           Origin
	operatorRecords  []Record // of changes requested by operators
	controlRecords   []Record // of changes by the control group itself
	nextOverride     table.Shard
	acceptedVersions []AcceptedVersion // newest last
	zones            []Zone            // sorted by name; never modified in place
}

// Option sets one part of a State.
type Option func(*State)

// New returns the state before the first log entry, with opts applied.
func New(opts ...Option) *State {
	f := &State{table: table.Empty(), nextOverride: table.FirstOverride}
	return f.With(opts...)
}

// With returns a copy of the state with opts applied. The receiver is not modified.
func (f *State) With(opts ...Option) *State {
	next := *f
	for _, o := range opts {
		o(&next)
	}
	return &next
}

// WithIndex sets the log index of the last applied entry.
func WithIndex(index uint64) Option { return func(f *State) { f.index = index } }

// WithTable sets the routing table.
func WithTable(t *table.Table) Option { return func(f *State) { f.table = t } }

// WithOrigin sets the origin of the rules in force.
func WithOrigin(o Origin) Option { return func(f *State) { f.origin = o } }

// WithNextOverride sets the number of the next dedicated shard.
func WithNextOverride(s table.Shard) Option { return func(f *State) { f.nextOverride = s } }

// WithRecords appends records to the audit trail and drops the oldest ones beyond
// AuditLimit. At most one state with new records may be derived from a given state, since
// the derived state shares the memory of the trail and would overwrite that of a second one.
func WithRecords(records ...Record) Option {
	return func(f *State) {
		for _, r := range records {
			if r.author == Control {
				f.controlRecords = trimRecords(append(f.controlRecords, r))
			} else {
				f.operatorRecords = trimRecords(append(f.operatorRecords, r))
			}
		}
	}
}

// trimRecords returns the newest records, at most AuditLimit.
func trimRecords(records []Record) []Record {
	return records[max(0, len(records)-AuditLimit):]
}

// Index returns the log index of the last applied entry.
func (f *State) Index() uint64 { return f.index }

// Table returns the routing table.
func (f *State) Table() *table.Table { return f.table }

// Origin returns the origin of the rules in force, the zero value if there are none.
func (f *State) Origin() Origin { return f.origin }

// Audit returns a copy of the audit trail, sorted by log index.
func (f *State) Audit() []Record {
	all := slices.Concat(f.operatorRecords, f.controlRecords)
	slices.SortStableFunc(all, func(a, b Record) int { return cmp.Compare(a.index, b.index) })
	return all
}

// ControlRecordsSince returns the records of changes by the control group itself from the log index on,
// oldest first. The caller must not modify the list.
func (f *State) ControlRecordsSince(index uint64) []Record {
	i := len(f.controlRecords)
	for i > 0 && f.controlRecords[i-1].index >= index {
		i--
	}
	return f.controlRecords[i:]
}

// NewestRecord returns the newest record of the audit trail, and whether there is one. It
// copies and sorts nothing, unlike Audit.
func (f *State) NewestRecord() (Record, bool) {
	var newest Record
	for _, trail := range [][]Record{f.operatorRecords, f.controlRecords} {
		if n := len(trail); n > 0 && trail[n-1].index >= newest.index {
			newest = trail[n-1]
		}
	}
	return newest, newest.index > 0
}

// NextOverride returns the number of the next dedicated shard. Numbers are not reused.
func (f *State) NextOverride() table.Shard { return f.nextOverride }

// Origin identifies the configuration folder that accepted rules came from.
type Origin struct {
	instance string
	folder   string
}

// NewOrigin returns the origin of rules in a folder of an instance.
func NewOrigin(instance, folder string) Origin {
	return Origin{instance: instance, folder: folder}
}

// Instance returns the instance that first proposed the rules.
func (o Origin) Instance() string { return o.instance }

// Folder returns the folder of the configuration files on that instance.
func (o Origin) Folder() string { return o.folder }

// Record is one entry of the audit trail.
type Record struct {
	index     uint64
	timestamp logcmd.Timestamp
	author    string
	subject   string
	from      string
	to        string
	outcome   string
}

// NewRecord returns the audit record of the log entry at index: author asked to change subject
// from one value to another, with the given outcome.
func NewRecord(index uint64, timestamp logcmd.Timestamp, author, subject, from, to, outcome string) Record {
	return Record{index: index, timestamp: timestamp, author: author, subject: subject, from: from, to: to, outcome: outcome}
}

// Index returns the log index of the change.
func (r Record) Index() uint64 { return r.index }

// Timestamp returns the wall-clock time at which the leader proposed the change.
func (r Record) Timestamp() logcmd.Timestamp { return r.timestamp }

// Author returns who requested the change: "instance:folder" for an operator, or Control.
func (r Record) Author() string { return r.author }

// Subject returns what changed.
func (r Record) Subject() string { return r.subject }

// From returns the value before the change.
func (r Record) From() string { return r.from }

// To returns the requested value.
func (r Record) To() string { return r.to }

// Outcome returns the result of the change, such as "accepted" or "moved".
func (r Record) Outcome() string { return r.outcome }
