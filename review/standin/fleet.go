package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine, which has a loopback address of its own.
const (
	appPort      = 8301
	readyPort    = 8302
	outboundPort = 8304
	controlPort  = 8306
	firstPeer    = 7620
	reservedPort = 8399 // of the first machine; held so that another fleet takes another subnet
)

// Names in the configuration of the stand-in operator.
const (
	keyedService  = "ledger"
	pooledService = "certify"
	hostName      = "books.example"
	keyedPrefix   = "/history/"
	onceKeyed     = "/entry/"
	pooledPrefix  = "/issue/"
)

const beatInterval = 1500 * time.Millisecond

// fleet is a small deployment: three control machines and some machines with a server each.
type fleet struct {
	root, folder string
	subnet       int
	controls     []*machine
	sides        []*machine
	record       *record
	judge        *judge
	client       *http.Client
	done         chan struct{}
	reserved     net.Listener
	notRun       error // why the case could not be played to its end
}

// machine is one machine with one process of the system and, on a side machine, a server.
type machine struct {
	fleet   *fleet
	name    string
	ip      string
	zone    string
	service string // "" on control machines

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	server  *server
	started int
}

func newFleet(root string, r *record, services []string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, folder: folder, record: r, done: make(chan struct{}), client: &http.Client{Timeout: 3 * time.Second}}
	f.judge = &judge{record: r, held: map[*server][]holding{}}
	for range 100 {
		f.subnet = 20 + rand.IntN(200)
		if f.reserved, err = net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", f.subnet, reservedPort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	add := func(n int, name, service string) *machine {
		return &machine{fleet: f, name: name, ip: fmt.Sprintf("127.%d.%d.1", f.subnet, n), zone: fmt.Sprintf("zone-%c", 'a'+(n-1)%3), service: service}
	}
	for n := range 3 {
		f.controls = append(f.controls, add(n+1, fmt.Sprintf("core-%d", n+1), ""))
	}
	for n, service := range services {
		f.sides = append(f.sides, add(n+4, fmt.Sprintf("side-%d", n+1), service))
	}
	return f, nil
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings returns the settings of the process as the platform would fill in the template of its role.
func (m *machine) settings(bootstrap bool) (string, error) {
	template := "deploy/daemon.jsonc"
	if m.service == "" {
		template = "deploy/control.jsonc"
	}
	text, err := os.ReadFile(filepath.Join(m.fleet.root, template))
	if err != nil {
		return "", err
	}
	var seeds []any
	for _, c := range m.fleet.controls {
		seeds = append(seeds, c.address(controlPort))
	}
	return render(string(text), map[string]any{
		"node": m.name, "ip": m.ip, "zone": m.zone, "seeds": seeds, "bootstrap": bootstrap,
		"listen":    map[string]any{"control": m.address(controlPort), "outbound": m.address(outboundPort), "ready": m.address(readyPort)},
		"portRange": []any{firstPeer, firstPeer + 15}, "dataDir": filepath.Join(m.fleet.folder, m.name, "data"),
		"faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"limits":         map[string]any{"linkMbps": 1000}, "grants": "request", "service": m.service, "appAddr": m.address(appPort),
		"bounds": map[string]any{"holdMaxMs": 10000, "drainMs": 2000, "graceS": 6, "retryBudgetExtra": 58, "budgetWindowS": 10, "retryBudgetRatio": 0.2},
	}), nil
}

// start starts the process of the machine with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	folder := filepath.Join(m.fleet.folder, m.name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return err
	}
	text, err := m.settings(m.started == 0)
	if err != nil {
		return err
	}
	path := filepath.Join(folder, "node.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.cmd = exec.Command("target/platform", "--settings", path)
	m.cmd.Dir = m.fleet.root
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "VERBENABANK_CONFIG=" + path}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.started++
	ended, cmd := make(chan struct{}), m.cmd
	m.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of the machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// start starts all machines and servers, sends the configuration and waits until requests are served.
func (f *fleet) start() error {
	if _, err := os.Stat(filepath.Join(f.root, "target/platform")); err != nil {
		return err
	}
	for _, m := range append(append([]*machine{}, f.controls...), f.sides...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	for n, m := range f.sides {
		s, err := startServer(m, fmt.Sprintf("i-%010x", rand.Uint64()>>24), 0)
		if err != nil {
			return err
		}
		m.server = s
		f.record.print("server %s of %s (%s) is up", s.id, m.name, m.service)
		_ = n
	}
	if err := f.putConfig(15 * time.Second); err != nil {
		return err
	}
	return f.awaitServing(30 * time.Second)
}

// stop kills the processes that the fleet started.
func (f *fleet) stop(keep bool) {
	close(f.done)
	defer func() { _ = f.reserved.Close() }()
	for _, m := range append(append([]*machine{}, f.sides...), f.controls...) {
		m.kill()
		if m.server != nil {
			m.server.crash()
		}
	}
	if !keep {
		_ = os.RemoveAll(f.folder)
	}
}

func configBody(version uint64) []byte {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{"type": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"hostname": hostName, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": 2500, "targetLatencyMs": 600, "priority": 1,
			"service": service, "attempts": 2,
		}}
	}
	service := func(name string, sharded bool) map[string]any {
		spec := map[string]any{"healthPath": "/health", "maxConnections": 71, "protocol": "h1", "tls": false}
		if sharded {
			spec["sharded"], spec["warmS"], spec["grants"] = true, 2.0, "request"
		}
		return map[string]any{"type": "services", "metadata": map[string]any{"name": name}, "spec": spec}
	}
	b, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": []any{
		route("r-history", keyedPrefix, "safe", keyedService), route("r-entry", onceKeyed, "unsafe", keyedService),
		route("r-issue", pooledPrefix, "unsafe", pooledService),
		service(keyedService, true), service(pooledService, false),
		map[string]any{"type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}},
	}})
	return b
}

// putConfig sends the first configuration, again and again until it is acknowledged.
func (f *fleet) putConfig(limit time.Duration) error {
	body := configBody(1)
	for end, n := time.Now().Add(limit), 0; time.Now().Before(end); n++ {
		q, _ := http.NewRequest(http.MethodPut, "http://"+f.controls[n%3].address(controlPort)+"/config", bytes.NewReader(body))
		q.Header.Set("If-Match", "0")
		q.Header.Set("Content-Type", "application/json")
		r, err := f.client.Do(q)
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				f.record.print("configuration acknowledged by %s", f.controls[n%3].name)
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration is not acknowledged")
}

// awaitServing waits until requests of each service and for keys of all ranges are served.
func (f *fleet) awaitServing(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		served := true
		for n := range 16 {
			if !f.has(keyedService) {
				break
			}
			a := f.send(f.sides[n%len(f.sides)], http.MethodGet, keyedPrefix+"probe", uint32(n*4096+7))
			served = served && a.status == 200
		}
		if f.has(pooledService) {
			served = served && f.send(f.sides[0], http.MethodPost, pooledPrefix+"probe", noKey).status == 200
		}
		if served {
			f.record.print("all key ranges are served")
			return nil
		}
	}
	return errors.New("the fleet does not serve in time")
}

func (f *fleet) has(service string) bool {
	for _, m := range f.sides {
		if m.service == service {
			return true
		}
	}
	return false
}

const noKey = 1 << 20

// answer is what a client got for a request.
type answer struct {
	id     string
	status int
	err    error
	body   string
}

// send sends one request on a new connection and returns its answer. There is no retry.
func (f *fleet) send(m *machine, method, path string, key uint32) answer {
	sent := time.Now()
	a := f.exchange(m, method, path, key)
	keyText := "no key"
	if key != noKey {
		keyText = fmt.Sprintf("key %d", key)
	}
	f.record.print("request %s (%s %s, %s) to %s: status %d, error %v, after %d ms", a.id, method, path, keyText, m.name, a.status, a.err,
		time.Since(sent).Milliseconds())
	return a
}

func (f *fleet) exchange(m *machine, method, path string, key uint32) answer {
	id := fmt.Sprintf("%016x", rand.Uint64())
	q, _ := http.NewRequest(method, "http://"+m.address(outboundPort)+path, nil)
	q.Host, q.Close = hostName, true
	q.Header.Set("Request-Id", id)
	q.Header.Set("Deadline-Ms", "2000")
	if key != noKey {
		q.Header.Set("Shard-Key", fmt.Sprint(key))
	}
	f.judge.sent(id)
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	r, err := (&http.Client{Timeout: 4 * time.Second, Transport: t}).Do(q)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return answer{id: id, status: r.StatusCode, err: err, body: strings.TrimSpace(string(b))}
}

// traffic sends keyed requests until stop is closed, from all side machines in turn.
func (f *fleet) traffic(every time.Duration, stop chan struct{}) {
	counts := map[int]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	t := time.NewTicker(every)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			group.Wait()
			f.record.print("client statuses (0: no answer): %v", counts)
			return
		case <-t.C:
		}
		group.Add(1)
		go func() {
			defer group.Done()
			a := f.send(f.sides[n%len(f.sides)], http.MethodGet, keyedPrefix+fmt.Sprint(n), uint32(rand.IntN(65536)))
			mu.Lock()
			counts[a.status]++
			mu.Unlock()
		}()
	}
}

// load sends requests for some neighboring keys that the server holds until stop is closed, from all machines in turn.
func (f *fleet) load(s *server, stop chan struct{}) {
	s.mu.Lock()
	from, to := uint32(65535), uint32(0)
	for _, h := range s.holds {
		from, to = min(from, h.from), max(to, h.to)
	}
	s.mu.Unlock()
	const busyKeys = 1200
	first := (from+to)/2 - busyKeys/2
	f.record.print("requests go to keys %d-%d", first, first+busyKeys)
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(9 * time.Millisecond):
		}
		group.Add(1)
		go func() {
			defer group.Done()
			f.send(f.sides[n%len(f.sides)], http.MethodGet, keyedPrefix+fmt.Sprint(n), first+uint32(rand.IntN(busyKeys)))
		}()
	}
}

// pooledTraffic sends requests to the pooled service until stop is closed, from all machines in turn.
func (f *fleet) pooledTraffic(every time.Duration, stop chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		group.Add(1)
		go func() {
			defer group.Done()
			f.send(f.sides[n%len(f.sides)], http.MethodPost, pooledPrefix+fmt.Sprint(n), noKey)
		}()
	}
}
