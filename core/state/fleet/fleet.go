// Package fleet holds the replicated state of the control group: the routing
// table, where its rules came from, and the audit trail.
package fleet

import (
	"cmp"
	"slices"

	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// AuditLimit is how many of the newest audit records are kept: so many of changes
// that operators asked for, and as many of the control group's own.
const AuditLimit = 10_000

// Control is the author of changes that no operator asked for.
const Control = "control"

// State is the state after one log entry. It is an immutable value; the next one
// is derived with With.
type State struct {
	index        uint64
	table        *table.Table
	origin       Origin
	asked        []Record // by operators
	own          []Record // of the control group
	nextOverride table.Shard
	accepted     []AcceptedVersion // newest last
}

// Option sets one part of a Fleet.
type Option func(*State)

// New returns the empty state with opts applied.
func New(opts ...Option) *State {
	f := &State{table: table.Empty(), nextOverride: table.FirstOverride}
	return f.With(opts...)
}

// With returns the state with opts applied. The receiver stays as it is.
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

// WithOrigin sets where the rules in force came from.
func WithOrigin(o Origin) Option { return func(f *State) { f.origin = o } }

// WithNextOverride sets the number of the next key that is placed alone.
func WithNextOverride(s table.Shard) Option { return func(f *State) { f.nextOverride = s } }

// WithRecords adds records to the audit trail and drops the oldest over
// AuditLimit. States derived from one another must be derived in one line, since
// they share the trail.
func WithRecords(records ...Record) Option {
	return func(f *State) {
		for _, r := range records {
			if r.author == Control {
				f.own = newest(append(f.own, r))
			} else {
				f.asked = newest(append(f.asked, r))
			}
		}
	}
}

func newest(records []Record) []Record {
	return records[max(0, len(records)-AuditLimit):]
}

// Index returns the log index of the last applied entry.
func (f *State) Index() uint64 { return f.index }

// Table returns the routing table.
func (f *State) Table() *table.Table { return f.table }

// Origin returns where the rules in force came from.
func (f *State) Origin() Origin { return f.origin }

// Audit returns the audit trail in the order of the log.
func (f *State) Audit() []Record {
	all := slices.Concat(f.asked, f.own)
	slices.SortStableFunc(all, func(a, b Record) int { return cmp.Compare(a.index, b.index) })
	return all
}

// ControlRecordsSince returns the records of the control group from the index on, oldest first.
func (f *State) ControlRecordsSince(index uint64) []Record {
	i := len(f.own)
	for i > 0 && f.own[i-1].index >= index {
		i--
	}
	return f.own[i:]
}

// NewestRecord returns the newest record of the audit trail, and whether there is one. It
// is cheaper than Audit.
func (f *State) NewestRecord() (Record, bool) {
	var newest Record
	for _, trail := range [][]Record{f.asked, f.own} {
		if n := len(trail); n > 0 && trail[n-1].index >= newest.index {
			newest = trail[n-1]
		}
	}
	return newest, newest.index > 0
}

// NextOverride returns the number of the next key that is placed alone.
func (f *State) NextOverride() table.Shard { return f.nextOverride }

// Origin is where accepted rules came from.
type Origin struct {
	instance string
	folder   string
}

// NewOrigin returns the origin of rules in a folder of an instance.
func NewOrigin(instance, folder string) Origin {
	return Origin{instance: instance, folder: folder}
}

// Instance returns the instance that offered first.
func (o Origin) Instance() string { return o.instance }

// Folder returns the folder that held the files.
func (o Origin) Folder() string { return o.folder }

// Record is one line of the audit trail.
type Record struct {
	index   uint64
	stamp   logcmd.Timestamp
	author  string
	subject string
	from    string
	to      string
	outcome string
}

// NewRecord returns a record of the entry at index: author changed subject from
// one value to another, with the outcome.
func NewRecord(index uint64, stamp logcmd.Timestamp, author, subject, from, to, outcome string) Record {
	return Record{index: index, stamp: stamp, author: author, subject: subject, from: from, to: to, outcome: outcome}
}

// Index returns the log index of the change.
func (r Record) Index() uint64 { return r.index }

// Timestamp returns when the leader proposed the change.
func (r Record) Timestamp() logcmd.Timestamp { return r.stamp }

// Author returns who asked for the change: an instance and folder, or "control".
func (r Record) Author() string { return r.author }

// Subject returns what changed.
func (r Record) Subject() string { return r.subject }

// From returns the value before.
func (r Record) From() string { return r.from }

// To returns the value after.
func (r Record) To() string { return r.to }

// Outcome returns what became of the change.
func (r Record) Outcome() string { return r.outcome }
