// Package proof holds the end-to-end process tests. They run real daemons and
// stand-in targets, inject faults (crashes, freezes, partitions, lost disks,
// concurrent operators) and check the outcomes that callers received against the
// ledgers that the targets wrote.
package proof

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"verbenabank/vload/adapt/proc"
)

const (
	shards  = 16
	secret  = "the secret of the process tests"
	service = "bookings"
)

// binaries is the folder of the programs under test. subnetOffset is added to the
// subnet numbers of the tests; subnetLock reserves them while it is open.
var (
	binaries     string
	subnetOffset int
	subnetLock   *os.File
)

func TestMain(m *testing.M) {
	// Processes that the tests start would inherit an ignored SIGHUP, as of nohup; a handled one is reset for them.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	folder, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	binaries = folder
	subnetLock, subnetOffset = reserveSubnets()
	for _, p := range []string{"verbenad", "vload"} {
		c := exec.Command("go", "build", "-o", folder+"/", "./"+p)
		c.Dir = "../.."
		if out, err := c.CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	_ = subnetLock.Close()
	os.Exit(code)
}

// Concurrent runs of these tests use disjoint ranges of subnets, so that their
// addresses do not collide.
const (
	maxParallelRuns = 4
	subnetsPerRun   = 30
)

// reserveSubnets reserves a range of subnets for this run and returns its offset and the
// locked file. The lock is released when the file is closed, also by the garbage collector.
func reserveSubnets() (*os.File, int) {
	for n := range maxParallelRuns {
		f, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("verbenabank-proof-%d.lock", n)), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			panic(err)
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			return f, n * subnetsPerRun
		}
		_ = f.Close()
	}
	panic("too many runs of the process tests at once")
}

// host is one instance: a daemon and its target.
type host struct {
	t       *testing.T
	name    string
	ip      string
	folder  string
	daemon  *proc.Process
	target  *proc.Process
	replica bool
	relay   *relay // nil if peers connect to the daemon directly
}

// fleet is a small deployment: the daemons of the first three hosts are control
// replicas.
type fleet struct {
	t      *testing.T
	folder string
	hosts  []*host
}

// newFleet starts the hosts in their own subnet and waits until all shards have
// owners and each host owns an equal share of them, after which no shard moves by
// itself.
func newFleet(t *testing.T, subnet, hosts int) *fleet {
	t.Helper()
	return startFleet(t, subnet, hosts, func(*host) {})
}

// newRelayedFleet is like newFleet, with a relay in front of each control replica
// to simulate network partitions.
func newRelayedFleet(t *testing.T, subnet, hosts int) *fleet {
	t.Helper()
	return startFleet(t, subnet, hosts, func(h *host) {
		if h.replica {
			h.relay = newRelay(t, h.ip+":8090", h.ip+":8091")
		}
	})
}

func startFleet(t *testing.T, subnet, hosts int, prepare func(*host)) *fleet {
	t.Helper()
	f := &fleet{t: t, folder: t.TempDir()}
	subnet += subnetOffset
	f.must(os.WriteFile(filepath.Join(f.folder, "secret"), []byte(secret), 0o600))
	for n := range hosts {
		h := &host{t: t, name: fmt.Sprintf("b-%d", n+1), ip: fmt.Sprintf("127.%d.%d.1", subnet, n+1), replica: n < 3}
		h.folder = filepath.Join(f.folder, h.name)
		f.must(os.MkdirAll(filepath.Join(h.folder, "conf.d"), 0o700))
		f.hosts = append(f.hosts, h)
		prepare(h)
		f.writeSettings(h, subnet, true)
	}
	f.writeConfiguration(f.hosts[0], 1, "")
	for _, h := range f.hosts {
		h.startDaemon()
		h.startTarget()
	}
	t.Cleanup(f.cleanUp)
	f.await(20*time.Second, "all shards have owners, each host an equal share", func() bool {
		return f.minOwnedShards() == shards && f.hostsWithShards(shards/hosts) == hosts
	})
	return f
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) writeSettings(h *host, subnet int, form bool) {
	control, folder, peers := "", "", fmt.Sprintf(`"%s:8090"`, h.ip)
	if h.relay != nil {
		peers = fmt.Sprintf(`"%s:8091", "advertise": "%s:8090"`, h.ip, h.ip)
	}
	if h.replica {
		control = fmt.Sprintf(`"control": {"data_folder": "data", "form": %v},`, form)
	}
	folder = `"configuration_folder": "conf.d",`
	text := fmt.Sprintf(`{"instance": %q, "zone": "z%s",
		"listen": {"callers": "%s:8080", "peers": %s, "admin": "%s:8070"},
		"replicas": ["127.%d.1.1:8090", "127.%d.2.1:8090", "127.%d.3.1:8090"], %s %s
		"secret_file": "../secret"}`, h.name, h.name[2:], h.ip, peers, h.ip, subnet, subnet, subnet, control, folder)
	f.must(os.WriteFile(filepath.Join(h.folder, "daemon.jsonc"), []byte(text), 0o600))
	text = fmt.Sprintf(`{"instance": %q, "service": %q, "listen": "%s:9000", "admin": "%s:8070", "ledger": "ledger.jsonl",
		"slots": 12, "backlog": 12, "connections": 130, "connect_ms": 1, "drain_ms": 3000, "fencing": "commit",
		"spread": "fixed", "service_ms": {"GET": 3, "POST": 8, "PUT": 30}}`, h.name, service, h.ip, h.ip)
	f.must(os.WriteFile(filepath.Join(h.folder, "target.jsonc"), []byte(text), 0o600))
}

// writeConfiguration writes a version of the configuration into the configuration
// folder of the host. extra is appended to the fields of the service.
func (f *fleet) writeConfiguration(h *host, version int, extra string) {
	text := fmt.Sprintf(`{"version": %d, "services": {%q: {"keyed": {"key": {"path_segment": 2}, "shards": %d},
		"target": {"checks_epoch": true, "shed_is_not_run": true, "slots": 12, "connections": 130}, "deadline_ms": 4000%s}}}`,
		version, service, shards, extra)
	path := filepath.Join(h.folder, "conf.d", "10.json")
	f.must(os.WriteFile(path+".new", []byte(text), 0o600))
	f.must(os.Rename(path+".new", path))
}

func (h *host) startDaemon() {
	h.t.Helper()
	p, err := proc.Start(filepath.Join(binaries, "verbenad"), h.folder, "daemon.log", "--settings", "daemon.jsonc")
	if err != nil {
		h.t.Fatal(err)
	}
	h.daemon = p
}

func (h *host) startTarget() {
	h.t.Helper()
	p, err := proc.Start(filepath.Join(binaries, "vload"), h.folder, "target.log", "target", "target.jsonc")
	if err != nil {
		h.t.Fatal(err)
	}
	h.target = p
}

// cleanUp kills the remaining processes, and logs the daemons' output if the test
// failed.
func (f *fleet) cleanUp() {
	for _, h := range f.hosts {
		for _, p := range []*proc.Process{h.daemon, h.target} {
			_ = p.Signal(syscall.SIGKILL)
			_ = p.Wait()
		}
		if f.t.Failed() {
			text, _ := os.ReadFile(filepath.Join(h.folder, "daemon.log"))
			f.t.Logf("%s:\n%s", h.name, text)
		}
	}
}

// kill sends SIGKILL and waits until the process has exited.
func kill(p *proc.Process) {
	_ = p.Signal(syscall.SIGKILL)
	_ = p.Wait()
}

// await polls until the condition holds, and fails the test after the timeout.
func (f *fleet) await(timeout time.Duration, condition string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("condition not met within %v: %s", timeout, condition)
}

// status holds the fields of GET /status that the tests read.
type status struct {
	Version     uint64 `json:"rules_version"`
	Digest      string `json:"rules_digest"`
	RulesLeftMs int    `json:"rules_left_ms"`
	Control     *struct {
		Leader   string   `json:"leader"`
		Commit   uint64   `json:"commit"`
		Complete bool     `json:"whole"`
		Replicas []string `json:"replicas"`
	} `json:"control"`
	Members []struct {
		Instance string `json:"instance"`
		Service  string `json:"service"`
		Shards   int    `json:"shards"`
	} `json:"members"`
	Services []struct {
		Owned int `json:"owned"`
	} `json:"services"`
}

func (h *host) getJSON(path string, into any) bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + h.ip + ":8070" + path)
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	return err == nil && json.Unmarshal(text, into) == nil
}

func (h *host) status() status {
	var s status
	h.getJSON("/status", &s)
	return s
}

// minOwnedShards returns the lowest number of shards with an owner that any daemon
// reports, and 0 while a daemon has no valid configuration.
func (f *fleet) minOwnedShards() int {
	lowest := shards
	for _, h := range f.hosts {
		s := h.status()
		if len(s.Services) != 1 || s.RulesLeftMs == 0 {
			return 0
		}
		lowest = min(lowest, s.Services[0].Owned)
	}
	return lowest
}

// hostsWithShards returns how many hosts own at least least shards, according to the
// table of the first host.
func (f *fleet) hostsWithShards(least int) int {
	count := 0
	for _, m := range f.hosts[0].status().Members {
		if m.Shards >= least {
			count++
		}
	}
	return count
}

// owner returns the host that owns the key according to the table of another host,
// or nil if it has no owner.
func (f *fleet) owner(asked *host, key string) *host {
	var route struct {
		Owner string `json:"owner"`
	}
	asked.getJSON("/route?service="+service+"&key="+key, &route)
	for _, h := range f.hosts {
		if h.name == route.Owner {
			return h
		}
	}
	return nil
}

// leader waits until a control replica reports a leader and returns its host.
func (f *fleet) leader() *host {
	var found *host
	f.await(5*time.Second, "there is a leader", func() bool {
		for _, h := range f.hosts[:3] {
			if s := h.status(); s.Control != nil && strings.HasPrefix(s.Control.Leader, h.ip+":") {
				found = h
			}
		}
		return found != nil
	})
	return found
}
