package raft

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// mutants remove one guard of the node each, by replacing source text.
var mutants = []struct{ guard, file, old, new string }{
	{"commit only in own term", "commit.go", "i > n.commit && n.log.termAt(i) == n.term", "i > n.commit"},
	{"local sync before own entry counts", "commit.go", "matches = append(matches, n.disk.durableIndex)", "matches = append(matches, n.log.last())"},
	{"up-to-date candidate", "election.go", "return t > own || (t == own && i >= n.log.last())", "return t > 0 && own+peer.Term(i) > 0"},
	{"sync before vote", "election.go", "n.sendDurable(m.From(), peer.NewVoteReply(granted))", "n.send(m.From(), n.term, peer.NewVoteReply(granted))"},
	{"one vote per term", "election.go", "free := n.vote == 0 || n.vote == m.From()", "free := true"},
	{"log entry required to vote", "election.go", "if !n.mayVote() || (n.hasRecentLeader()", "if (n.hasRecentLeader()"},
	{"votes of members only", "election.go", "if n.members.IsVoter(id) {", "if id != 0 {"},
	{"sync before acknowledgement", "append.go", "if match <= n.disk.durableIndex {", "if match >= 0 {"},
	{"commit only what matches", "append.go", "min(r.Commit(), match)", "min(r.Commit(), n.log.last())"},
	{"previous entry matches", "append.go", "return n.log.matches(i, r.PreviousTerm())", "return i <= n.log.last()"},
	{"truncate only conflicting entries", "append.go", "if n.log.matches(e.Index(), e.Term()) {", "if e.Index() <= n.commit {"},
	{"heartbeat round after confirmation request", "confirm.go", "round: n.lead.round + 1}", "round: n.lead.round}"},
	{"entry of own term before confirmation", "confirm.go", "if _, ok := n.role.(Leader); !ok ||", "if !n.leads() ||"},
	{"one pending membership change", "membership.go", "return ok && n.membersIndex <= n.commit &&", "return ok &&"},
	{"sync of term before reply", "durable.go", "return !n.disk.hardStateDirty && n.disk.hardStateBatch <= n.disk.persisted", "return true"},
	{"deferred actions void in later term", "durable.go", "if next.term == n.term {", "if next.term > 0 {"},
	{"truncated entries not durable", "durable.go", "d.durableIndex = min(d.durableIndex, i-1)", "_ = d.durableIndex"},
	{"one group", "receive.go", "if m.Group() != n.group {", "if m.Group() == 0 {"},
	{"own replica ID", "receive.go", "if m.To() != n.id || m.Group() == 0 {", "if m.Group() == 0 {"},
	{"current term", "receive.go", "return m.Term() == n.term\n", "return m.Term() <= n.term\n"},
	{"unanimous bootstrap", "bootstrap.go", "helloReplyTTL {\n\t\t\t\treturn", "helloReplyTTL {\n\t\t\t\tcontinue"},
	{"single bootstrap", "bootstrap.go", "if !n.logEmpty() || m.To() != n.id", "if m.To() != n.id"},
	{"one group for entries", "receive.go", "if n.logEmpty() && n.group != m.Group()", "if n.group != m.Group()"},
	{"verified hello echo", "discovery.go", "case echo == 0 || echo != x.previous || m.From() != x.verifiedID:", "case echo == x.issued+1:"},
}

// TestMutants runs the tests on each mutant and requires them to fail. It takes minutes, so it runs
// only when MUTANTS is set.
func TestMutants(t *testing.T) {
	if os.Getenv("MUTANTS") == "" {
		t.Skip("MUTANTS is not set")
	}
	for _, m := range mutants {
		t.Run(m.guard, func(t *testing.T) {
			run := exec.Command("go", "test", "-count=1", "-timeout", "1m", "-overlay", overlay(t, m.file, m.old, m.new),
				"-skip", "TestMutants|TestDisabledGuards", "-rapid.shrinktime", "1s", ".")
			run.Env = append(os.Environ(), "MUTANTS=", "GOMAXPROCS=2")
			out, err := run.CombinedOutput()
			if strings.Contains(string(out), "build failed") || err == nil {
				t.Fatalf("mutant survived the tests: %s", out[:min(len(out), 2000)])
			}
			t.Log(string(regexp.MustCompile(`(failed after|panic:).*`).Find(out)))
		})
	}
}

// overlay writes a file for go test -overlay that replaces text in one source file. The text must
// occur exactly once.
func overlay(t *testing.T, file, before, after string) string {
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(source), before) != 1 {
		t.Fatalf("%s does not contain exactly once: %q", file, before)
	}
	path, _ := filepath.Abs(file)
	changed := filepath.Join(t.TempDir(), file)
	if err := os.WriteFile(changed, []byte(strings.Replace(string(source), before, after, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	list, _ := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	name := filepath.Join(t.TempDir(), "overlay.json")
	if err := os.WriteFile(name, list, 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}
