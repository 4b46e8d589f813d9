package jsonl

import (
	"encoding/json"

	"verbenabank/core/clock"
	"verbenabank/vload/state/ledger"
)

// line is one line of a ledger file.
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

// Kinds of lines.
const (
	kindBegin  = "begin"
	kindCommit = "commit"
	kindAbort  = "abort"
	kindLeave  = "leave"
)

func encode(l line) []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic("lines: a line of plain fields cannot be encoded: " + err.Error())
	}
	return append(b, '\n')
}

func (l line) order() ledger.Request {
	return ledger.NewRequest(l.ID, l.Key, l.Method, l.Shard, l.Epoch, l.Lease)
}
