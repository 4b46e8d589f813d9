package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus/hooks/test"

	"verbenabank/verbenad/adapt/jsonc"
)

// running is a daemon that runs until stop is called.
type running struct {
	admin string
	stop  func()
}

// restart runs a daemon that is the only control replica of its group, with the data in a folder, and waits until it has
// joined.
func restart(t *testing.T, folder string) running {
	t.Helper()
	i := is.New(t)
	peers := freeAddress(t)
	if saved, ok := addresses[folder]; ok {
		peers = saved
	}
	addresses[folder] = peers
	s, err := jsonc.Parse(filepath.Join(folder, "settings.jsonc"), fmt.Appendf(nil, `{"instance": "one", "zone": "z",
		"replicas": [%q], "open_network": true, "listen": {"callers": %q, "peers": %q, "admin": %q},
		"control": {"data_folder": "data", "form": true}, "grace_ms": 4000}`, peers, freeAddress(t), peers, freeAddress(t)))
	i.NoErr(err)
	log, _ := test.NewNullLogger()
	d, clean, err := New(s, log)
	i.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	for deadline := time.Now().Add(20 * time.Second); d.snapshots.Load().Self() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the daemon did not join")
		}
	}
	return running{admin: "http://" + d.adminPort.Addr().String(), stop: func() {
		cancel()
		i.NoErr(<-ended)
		clean()
	}}
}

// addresses keeps the peers address of the daemon with a data folder, by which the group knows it.
var addresses = map[string]string{}

// call makes a call of an operator and returns the status, and the error in the body.
func (r running) call(t *testing.T, method, path string) (int, string) {
	t.Helper()
	request, _ := http.NewRequest(method, r.admin+path, nil)
	response, err := http.DefaultClient.Do(request)
	is.New(t).NoErr(err)
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	var body struct {
		Error string `json:"error"`
	}
	is.New(t).NoErr(json.Unmarshal(content, &body))
	return response.StatusCode, body.Error
}

// drained returns the drained zones in the status, once the daemon's table has them.
func (r running) drained(t *testing.T, want string) string {
	t.Helper()
	var got string
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		response, err := http.Get(r.admin + "/status")
		is.New(t).NoErr(err)
		var status struct {
			Drained []string `json:"drained_zones"`
		}
		err = json.NewDecoder(response.Body).Decode(&status)
		_ = response.Body.Close()
		is.New(t).NoErr(err)
		if got = strings.Join(status.Drained, ","); got == want {
			break
		}
	}
	return got
}

// TestZoneDrainOutlivesARestart drains a zone at the admin server, and restarts the only control replica right after each
// acknowledgement, so that its next term starts from what is on its disk.
func TestZoneDrainOutlivesARestart(t *testing.T) {
	i := is.New(t)
	folder := t.TempDir()
	for _, step := range []struct{ method, drained string }{
		{http.MethodPut, "z"}, {http.MethodPut, "z"}, {http.MethodDelete, ""}, {http.MethodDelete, ""},
	} {
		r := restart(t, folder)
		status, problem := r.call(t, step.method, "/zones/z/drain")
		i.Equal(problem, "")
		i.Equal(status, http.StatusOK)
		r.stop()
		r = restart(t, folder)
		i.Equal(r.drained(t, step.drained), step.drained)
		r.stop()
	}
}

// TestOrdersForZonesThatDoNotExist are refused for good, so that operators see their mistake.
func TestOrdersForZonesThatDoNotExist(t *testing.T) {
	i := is.New(t)
	r := restart(t, t.TempDir())
	defer r.stop()
	for zone, want := range map[string]int{"y": http.StatusNotFound, "Z": http.StatusBadRequest, "z_1": http.StatusBadRequest} {
		for _, method := range []string{http.MethodPut, http.MethodDelete} {
			status, problem := r.call(t, method, "/zones/"+zone+"/drain")
			i.Equal(status, want)
			i.True(problem != "")
		}
	}
}
