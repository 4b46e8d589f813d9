package jsonl

import (
	"bufio"
	"encoding/json"
	"io"
	"os"

	"verbenabank/vload/state/ledger"
)

// Read returns the ledger of the files at paths. A file that is missing holds
// nothing, and a last line that was cut off is left out.
func Read(paths ...string) (ledger.Ledger, error) {
	var c collector
	for _, p := range paths {
		if err := c.file(p); err != nil {
			return ledger.Ledger{}, err
		}
	}
	return c.ledger(), nil
}

// collector joins the lines of each execution.
type collector struct {
	begins []line
	ends   map[run]ledger.Outcome
	leaves []ledger.Shutdown
}

type run struct {
	boot     string
	sequence uint64
}

func (c *collector) file(path string) error {
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
	if c.ends == nil {
		c.ends = make(map[run]ledger.Outcome)
	}
	id := run{boot: l.Boot, sequence: l.Sequence}
	switch l.Kind {
	case kindBegin:
		c.begins = append(c.begins, l)
	case kindCommit:
		c.ends[id] = ledger.NewCommitted(l.At)
	case kindAbort:
		c.ends[id] = ledger.NewAborted(l.At)
	case kindLeave:
		c.leaves = append(c.leaves, ledger.NewShutdown(l.Boot, l.At))
	}
}

func (c *collector) ledger() ledger.Ledger {
	executions := make([]ledger.Execution, 0, len(c.begins))
	for _, l := range c.begins {
		ending, ok := c.ends[run{boot: l.Boot, sequence: l.Sequence}]
		if !ok {
			ending = ledger.InDoubt{}
		}
		executions = append(executions, ledger.NewExecution(l.order(), l.Service, l.Instance, l.Boot, l.At, ending))
	}
	return ledger.New(executions, c.leaves)
}
