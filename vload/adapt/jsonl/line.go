package jsonl

import (
	"encoding/json"

	"verbenabank/core/clock"
	"verbenabank/vload/state/ledger"
)

// line is one record of a ledger file. Boot identifies the run of the target, and
// Sequence the execution within that run.
type line struct {
	Kind     string       `json:"kind"`
	Boot     string       `json:"boot"`
	Sequence uint64       `json:"sequence,omitempty"`
	At       clock.Millis `json:"at"`
	Service  string       `json:"service,omitempty"`
	Instance string       `json:"instance,omitempty"`
	ID       string       `json:"id,omitempty"`
	Key      string       `json:"key,omitempty"`
	Method   string       `json:"method,omitempty"`
	Shard    uint32       `json:"shard,omitempty"`
	Epoch    uint64       `json:"epoch,omitempty"`
	Lease    clock.Millis `json:"lease,omitempty"`
}

// Values of the field kind.
const (
	kindBegin    = "begin"
	kindCommit   = "commit"
	kindAbort    = "abort"
	kindShutdown = "leave"
)

func encode(l line) []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic("lines: cannot encode a ledger record: " + err.Error())
	}
	return append(b, '\n')
}

func (l line) request() ledger.Request {
	return ledger.NewRequest(l.ID, l.Key, l.Method, l.Shard, l.Epoch, l.Lease)
}
