package jsonl

import (
	"bufio"
	"encoding/json"
	"io"
	"os"

	"verbenabank/vload/state/ledger"
)

// Read merges the ledger files at paths. A missing file counts as empty, and an
// incomplete last line, left by a target that was killed, is ignored. Executions
// without an end are in doubt.
func Read(paths ...string) (ledger.Ledger, error) {
	var c collector
	for _, p := range paths {
		if err := c.readFile(p); err != nil {
			return ledger.Ledger{}, err
		}
	}
	return c.ledger(), nil
}

// collector joins the begin record of each execution with its outcome.
type collector struct {
	begins    []line
	outcomes  map[executionID]ledger.Outcome
	shutdowns []ledger.Shutdown
}

// executionID identifies an execution: sequence numbers start anew in each run of a
// target.
type executionID struct {
	boot     string
	sequence uint64
}

func (c *collector) readFile(path string) error {
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return fail("open", Unreadable, err)
	}
	defer func() { _ = file.Close() }()
	reader := bufio.NewReader(file)
	for {
		text, err := reader.ReadBytes('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fail("read", Unreadable, err)
		}
		var l line
		if err := json.Unmarshal(text, &l); err != nil {
			return fail("read "+path, Unreadable, err)
		}
		c.add(l)
	}
}

func (c *collector) add(l line) {
	if c.outcomes == nil {
		c.outcomes = make(map[executionID]ledger.Outcome)
	}
	id := executionID{boot: l.Boot, sequence: l.Sequence}
	switch l.Kind {
	case kindBegin:
		c.begins = append(c.begins, l)
	case kindCommit:
		c.outcomes[id] = ledger.NewCommitted(l.At)
	case kindAbort:
		c.outcomes[id] = ledger.NewAborted(l.At)
	case kindShutdown:
		c.shutdowns = append(c.shutdowns, ledger.NewShutdown(l.Boot, l.At))
	}
}

func (c *collector) ledger() ledger.Ledger {
	executions := make([]ledger.Execution, 0, len(c.begins))
	for _, l := range c.begins {
		outcome, ok := c.outcomes[executionID{boot: l.Boot, sequence: l.Sequence}]
		if !ok {
			outcome = ledger.InDoubt{}
		}
		executions = append(executions, ledger.NewExecution(l.request(), l.Service, l.Instance, l.Boot, l.At, outcome))
	}
	return ledger.New(executions, c.shutdowns)
}
