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

// mutants remove one guard of the node each.
var mutants = []struct{ guard, file, old, new string }{
	{"commit only in own term", "commit.go", "i > n.commit && n.log.termAt(i) == n.term", "i > n.commit"},
	{"own sync before own count", "commit.go", "matches = append(matches, n.disk.durable)", "matches = append(matches, n.log.last())"},
	{"up-to-date candidate", "election.go", "return t > own || (t == own && i >= n.log.last())", "return t > 0 && own+peer.Term(i) > 0"},
	{"sync before vote", "election.go", "n.sendDurable(m.From(), peer.NewVoteReply(granted))", "n.send(m.From(), n.term, peer.NewVoteReply(granted))"},
	{"one vote", "election.go", "free := n.vote == 0 || n.vote == m.From()", "free := true"},
	{"entry before vote", "election.go", "if !n.mayVote() || (n.hears()", "if (n.hears()"},
	{"votes of members only", "election.go", "if n.members.Votes(id) {", "if id != 0 {"},
	{"sync before acknowledgement", "append.go", "if match <= n.disk.durable {", "if match >= 0 {"},
	{"commit only what matches", "append.go", "min(r.Commit(), match)", "min(r.Commit(), n.log.last())"},
	{"previous entry equal", "append.go", "return n.log.matches(i, r.PreviousTerm())", "return i <= n.log.last()"},
	{"cut only conflicts", "append.go", "if n.log.matches(e.Index(), e.Term()) {", "if e.Index() <= n.commit {"},
	{"round after question", "confirm.go", "round: n.lead.round + 1}", "round: n.lead.round}"},
	{"entry of own term before confirmation", "confirm.go", "if _, ok := n.role.(Leader); !ok ||", "if !n.leads() ||"},
	{"one open change", "repair.go", "return ok && n.changed <= n.commit &&", "return ok &&"},
	{"sync before term is answered", "durable.go", "return !n.disk.promising && n.disk.promise <= n.disk.persisted", "return true"},
	{"actions end with their term", "durable.go", "if next.term == n.term {", "if next.term > 0 {"},
	{"cut entries are not durable", "durable.go", "d.durable = min(d.durable, i-1)", "_ = d.durable"},
	{"one group", "receive.go", "if m.Group() != n.group {", "if m.Group() == 0 {"},
	{"own identity", "receive.go", "if m.To() != n.id || m.Group() == 0 {", "if m.Group() == 0 {"},
	{"present term", "receive.go", "return m.Term() == n.term\n", "return m.Term() <= n.term\n"},
	{"unanimous founding", "form.go", "helloFresh {\n\t\t\t\treturn", "helloFresh {\n\t\t\t\tcontinue"},
	{"one founding", "form.go", "if !n.free() || m.To() != n.id", "if m.To() != n.id"},
	{"one group for entries", "receive.go", "if n.free() && n.group != m.Group()", "if n.group != m.Group()"},
	{"proven greeting", "greet.go", "case echo == 0 || echo != x.last || m.From() != x.id:", "case echo == x.issued+1:"},
}

// TestMutants runs the random tests on each mutant and wants them to fail. It
// takes minutes, so it runs only when MUTANTS is set.
func TestMutants(t *testing.T) {
	if os.Getenv("MUTANTS") == "" {
		t.Skip("MUTANTS is not set")
	}
	for _, m := range mutants {
		t.Run(m.guard, func(t *testing.T) {
			run := exec.Command("go", "test", "-count=1", "-timeout", "1m", "-overlay", overlay(t, m.file, m.old, m.new),
				"-skip", "TestMutants|TestBrokenGuards", "-rapid.shrinktime", "1s", ".")
			run.Env = append(os.Environ(), "MUTANTS=", "GOMAXPROCS=2")
			out, err := run.CombinedOutput()
			if strings.Contains(string(out), "build failed") || err == nil {
				t.Fatalf("survived: %s", out[:min(len(out), 2000)])
			}
			t.Log(string(regexp.MustCompile(`(failed after|panic:).*`).Find(out)))
		})
	}
}

// overlay returns a file for go test -overlay that changes the source.
func overlay(t *testing.T, file, before, after string) string {
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(source), before) != 1 {
		t.Fatalf("%s does not hold once %q", file, before)
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
