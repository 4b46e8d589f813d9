package main

import (
	"fmt"
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

const heartbeatInterval = 870 * time.Millisecond

// The bounds of the site mflha-mesh.
var bounds = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "contactWindowMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
	"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
	"retryBudgetExtra": 62, "recoveryS": 15, "holdMaxMs": 10000, "thawSlackMs": 300,
}

// machine is one machine with one process of the project.
type machine struct {
	node, class, zone, ip, service string
	settings, dataDir, log         string
	port                           int // the first of its ports
	command                        *exec.Cmd
	ended                          chan struct{}
}

func (m *machine) address(offset int) string { return fmt.Sprintf("%s:%d", m.ip, m.port+offset) }
func (m *machine) outbound() string          { return m.address(4) }
func (m *machine) control() string           { return m.address(6) }
func (m *machine) ready() string             { return m.address(2) }
func (m *machine) app() string               { return m.address(1) }

// cluster is a small deployment on loopback addresses.
type cluster struct {
	root, folder string
	run          []string
	core, side   []*machine
	record       *record
	mu           sync.Mutex
}

var zones = []string{"east-mids", "west-mids", "shires"}

// newCluster prepares 3 machines of the core, and one machine next to a server for each of the services.
func newCluster(root string, r *record, services []string) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{root: root, folder: folder, record: r}
	if c.run, err = runLine(filepath.Join(root, "deploy/system.toml")); err != nil {
		return nil, err
	}
	net2 := 10 + rand.IntN(200)
	port := 0
	for range 200 {
		if p := 20000 + rand.IntN(9000); portsFree(net2, p) {
			port = p
			break
		}
	}
	if port == 0 {
		return nil, fmt.Errorf("no free ports")
	}
	for i := range 3 {
		c.core = append(c.core, &machine{node: fmt.Sprintf("core-%s-1", zones[i]), class: "core", zone: zones[i], ip: fmt.Sprintf("127.%d.%d.13", net2, i+1), port: port})
	}
	for i, s := range services {
		c.side = append(c.side, &machine{node: fmt.Sprintf("sidecar-%s-%d", zones[i%3], i/3+1), class: "sidecar", zone: zones[i%3],
			ip: fmt.Sprintf("127.%d.%d.%d", net2, i%3+1, 20+i), port: port, service: s})
	}
	return c, nil
}

func portsFree(net2, port int) bool {
	for i := range 8 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.13:%d", net2, port+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// runLine returns the command of the deploy file.
func runLine(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for l := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(l), "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, fmt.Errorf("no run line in %s", path)
}

func (c *cluster) fields(m *machine, bootstrap bool) map[string]any {
	var seeds []any
	for _, k := range c.core {
		seeds = append(seeds, k.control())
	}
	var terms []any
	for _, t := range []string{"base", "drain", "config", "cost", "retry", "recover", "own"} {
		terms = append(terms, t)
	}
	listen := map[string]any{"control": m.control()}
	if m.class == "sidecar" {
		listen = map[string]any{"inbound": m.address(0), "outbound": m.outbound(), "ready": m.ready(), "control": m.control()}
	}
	f := map[string]any{
		"node": m.node, "role": m.class, "machineClass": m.class, "ip": m.ip, "zone": m.zone, "region": "midlands", "listen": listen,
		"portRange": []any{m.port + 10, m.port + 25}, "seeds": seeds, "bootstrap": bootstrap, "countsAsLoss": m.class == "core",
		"limits":              map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"heartbeatIntervalMs": 870, "contracts": terms, "faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": bounds, "grants": "request",
	}
	if m.class == "core" {
		f["dataDir"] = m.dataDir
	} else {
		f["appAddr"], f["service"] = m.app(), m.service
	}
	return f
}

// start starts the process of a machine.
func (c *cluster) start(m *machine, bootstrap bool) error {
	template := "deploy/daemon.jsonc"
	if m.class == "core" {
		template = "deploy/control.jsonc"
		m.dataDir = filepath.Join(c.folder, m.node+"-data")
		if err := os.MkdirAll(m.dataDir, 0o755); err != nil {
			return err
		}
	}
	text, err := render(filepath.Join(c.root, template), c.fields(m, bootstrap))
	if err != nil {
		return err
	}
	m.settings, m.log = filepath.Join(c.folder, m.node+".json"), filepath.Join(c.folder, m.node+".log")
	if err := os.WriteFile(m.settings, []byte(text), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	args := append([]string(nil), c.run[1:]...)
	for i, a := range args {
		if strings.HasSuffix(a, "node.json") {
			args[i] = m.settings
		}
	}
	cmd := exec.Command(filepath.Join(c.root, c.run[0]), args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.folder, "VERBENABANK_CONFIG=" + m.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	c.mu.Lock()
	m.command, m.ended = cmd, ended
	c.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	c.record.add("process of %s started", m.node)
	return nil
}

func (c *cluster) startAll() error {
	for _, m := range append(append([]*machine(nil), c.core...), c.side...) {
		if err := c.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) stopAll() {
	for _, m := range append(append([]*machine(nil), c.core...), c.side...) {
		if m.command != nil {
			_ = m.command.Process.Kill()
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

// awaitReady waits until all daemons next to servers say that they are ready.
func (c *cluster) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	for _, m := range c.side {
		for {
			resp, err := client.Get("http://" + m.ready() + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.node)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// putConfig is the operator: it sends a configuration until it is acknowledged.
func (c *cluster) putConfig(base, body string, limit time.Duration) error {
	client := &http.Client{Timeout: 2 * time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		m := c.core[rand.IntN(len(c.core))]
		req, _ := http.NewRequest(http.MethodPut, "http://"+m.control()+"/config", strings.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("If-Match", base)
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			c.record.add("operator: configuration on top of %s acknowledged", base)
			return nil
		}
	}
	return fmt.Errorf("the configuration was not acknowledged")
}

type route struct{ host, prefix, kind, service string }

// configBody returns a configuration like those of the site.
func configBody(version string, routes []route, sharded map[string]bool) string {
	var items []string
	seen := map[string]bool{}
	for i, r := range routes {
		items = append(items, fmt.Sprintf(`{"type":"routes","metadata":{"name":"r-%d"},"spec":{"hostname":%q,"pathPrefix":%q,"routeKind":%q,"timeoutMs":5000,"targetLatencyMs":600,"priority":1,"service":%q,"attempts":2}}`,
			i, r.host, r.prefix, r.kind, r.service))
		if !seen[r.service] {
			seen[r.service] = true
			extra := ""
			if sharded[r.service] {
				extra = `,"sharded":true,"warmS":3.0,"grants":"request"`
			}
			items = append(items, fmt.Sprintf(`{"type":"services","metadata":{"name":%q},"spec":{"healthPath":"/health","maxConnections":130,"protocol":"h1","tls":false%s}}`, r.service, extra))
		}
	}
	items = append(items, `{"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
	return fmt.Sprintf(`{"version":%q,"resources":[%s]}`, version, strings.Join(items, ","))
}
