package cmds

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenabank/verbena/query/show"
)

func run(args ...string) (show.Status, string, string) {
	var out, errs bytes.Buffer
	status := Run(args, &out, &errs)
	return status, out.String(), errs.String()
}

func writeFolder(t *testing.T, files map[string]string) string {
	t.Helper()
	path := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(path, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

func smallFolder(t *testing.T) string {
	return writeFolder(t, map[string]string{
		"10.json": `{"version": 3, "services": {"a": {"pooled": {}, "target": {"slots": 5}}}}`,
		"20.json": "{\"services\": {\"a\": {\n\"target\": {\"slots\": 6}}}}",
	})
}

func TestCheck(t *testing.T) {
	is := is.New(t)
	status, out, _ := run("check", "../../../examples/midlands/conf.d")
	is.Equal(status, show.OK)
	is.True(strings.Contains(out, "services  bookings, catalogue, depot-desk\n"))

	bad := writeFolder(t, map[string]string{"a.json": "{\"version\": 0,\n\"services\": {}}"})
	status, out, _ = run("check", bad, "--json")
	is.Equal(status, show.Problem)
	var report struct {
		Valid  bool
		Faults []struct {
			Line int
			Path string
		}
	}
	is.NoErr(json.Unmarshal([]byte(out), &report))
	is.Equal(len(report.Faults), 2)
	is.Equal(report.Faults[1].Path, "services")
	is.Equal(report.Faults[1].Line, 2)

	status, _, errs := run("check", filepath.Join(bad, "none"))
	is.Equal(status, show.Problem)
	is.True(strings.HasPrefix(errs, "verbena: read configuration folder: "))
}

func TestExplain(t *testing.T) {
	is := is.New(t)
	path := smallFolder(t)
	status, out, _ := run("explain", path, "services.a.target.slots")
	is.Equal(status, show.OK)
	is.Equal(out, strings.ReplaceAll(`services.a.target.slots  = 6  DIR/20.json:2

from the first file to the last:
DIR/10.json:1  set  5
DIR/20.json:2  set  6
`, "DIR", path))
	status, out, _ = run("explain", path, "services.a.queue")
	is.Equal(status, show.OK)
	is.True(strings.Contains(out, "services.a.queue.length   = 64   default\n"))
	status, _, _ = run("explain", path, "services.b")
	is.Equal(status, show.Problem)
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	path := smallFolder(t)
	other := writeFolder(t, map[string]string{"10.json": `{"version": 4, "services": {"a": {"pooled": {}, "drain_ms": 9}}}`})
	status, out, _ := run("diff", path, other)
	is.Equal(status, show.Problem)
	is.True(strings.Contains(out, "+ services.a.drain_ms  9"))
	is.True(strings.Contains(out, "- services.a.target"))
	is.True(strings.Contains(out, "~ version"))
	status, out, _ = run("diff", path, path)
	is.Equal(status, show.OK)
	is.Equal(out, "no difference\n")
}

// serveResponses starts an admin API that returns the body for each URL, and 404 for any other
// URL. It returns the address.
func serveResponses(t *testing.T, bodies map[string]string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := bodies[r.URL.String()]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			body = `{"error": "no service has this name"}`
		}
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestDaemonQueries(t *testing.T) {
	is := is.New(t)
	address := serveResponses(t, map[string]string{
		"/status":                        `{"instance": "c-1", "control": {"term": 4}, "members": [{"zone": "z", "shards": 2}], "services": []}`,
		"/route?key=tent+9%2F&service=a": `{"owner": "c-2"}`,
		"/audit":                         `[{"unix_ms": 0, "outcome": "accepted\u001b[1m"}]`,
		"/rules":                         `{"version": 3, "services": {"a": {"pooled": {}, "target": {"slots": 5}}}}`,
	})
	status, out, _ := run("status", "--daemon", address)
	is.Equal(status, show.OK)
	is.Equal(out, "instance  c-1\ncontrol:\n  term  4\n\nmembers:\nzone      shards\nz         2\nservices  none\n")
	_, out, _ = run("route", "a", "tent 9/", "--daemon", address)
	is.Equal(out, "owner  c-2\n")
	_, out, _ = run("audit", "--daemon", address)
	is.Equal(out, "unix_ms               outcome\n1970-01-01T00:00:00Z  accepted [1m\n")
	_, out, _ = run("audit", "--json", "--daemon", address)
	is.True(json.Valid([]byte(out)))
	status, out, _ = run("diff", smallFolder(t), "--daemon", address)
	is.Equal(status, show.Problem)
	is.True(strings.HasPrefix(out, "~ services.a.target.slots  5 -> 6"))
	status, _, errs := run("route", "b", "k", "--daemon", address)
	is.Equal(status, show.Problem)
	is.True(strings.Contains(errs, "status 404"))
}

func TestUsageErrors(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{{}, {"status"}, {"status", "--daemon", "here"}, {"diff", "x"}} {
		status, out, errs := run(args...)
		is.Equal(status, show.Usage)
		is.Equal(out, "")
		is.True(errs != "")
	}
}
