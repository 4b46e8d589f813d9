package folder

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
)

const (
	serviceConfig = `{"services": {"catalogue": {"pooled": {}}}}`
	waitTimeout   = 5 * time.Second        // longest wait for an expected event
	absenceWait   = 300 * time.Millisecond // how long to watch for an event that must not occur
)

// fixture is a watched folder. Its watcher has short intervals.
type fixture struct {
	t         *testing.T
	path      string
	proposals chan Proposal
	watcher   *Watcher
	log       *logBuffer
}

// logBuffer collects log output. Write and has are safe for concurrent use.
type logBuffer struct {
	sync.Mutex
	strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.Lock()
	defer l.Unlock()
	return l.Builder.Write(p)
}

func (l *logBuffer) has(text string) bool {
	l.Lock()
	defer l.Unlock()
	return strings.Contains(l.String(), text)
}

var _ io.Writer = (*logBuffer)(nil)

func start(t *testing.T, path string, opts ...Option) *fixture {
	f := &fixture{t: t, path: path, proposals: make(chan Proposal, 100), log: &logBuffer{}}
	logger := logrus.New()
	logger.SetOutput(f.log)
	opts = append([]Option{
		WithPath(path), WithOnProposal(func(p Proposal) { f.proposals <- p }), WithLog(logrus.NewEntry(logger)),
		WithDebounce(20 * clock.Millisecond), WithRescanInterval(100 * clock.Millisecond), WithRetryDelay(20 * clock.Millisecond),
	}, opts...)
	w, stop, err := New(opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	f.watcher = w
	return f
}

func (f *fixture) write(name, text string) {
	f.t.Helper()
	if err := os.WriteFile(filepath.Join(f.path, name), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) writeVersion(n int) {
	f.t.Helper()
	f.write("99.json", fmt.Sprintf(`{"version": %d}`, n))
}

func (f *fixture) wantVersion(version uint64) Proposal {
	f.t.Helper()
	select {
	case p := <-f.proposals:
		if p.Version() != version {
			f.t.Fatalf("proposed version %d, want %d", p.Version(), version)
		}
		return p
	case <-time.After(waitTimeout):
		f.t.Fatalf("version %d was not proposed; log:\n%s", version, f.log.String())
		return Proposal{}
	}
}

func (f *fixture) wantNoProposal() {
	f.t.Helper()
	select {
	case p := <-f.proposals:
		f.t.Fatalf("unexpected proposal of version %d: %s", p.Version(), p.Content())
	case <-time.After(absenceWait):
	}
}

func (f *fixture) wantLog(text string) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !f.log.has(text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("no log line with %q in\n%s", text, f.log.String())
		}
	}
}

// startedFixture starts a watcher on a folder with a valid configuration of version 1
// and waits for its proposal. The rescan interval is a minute, so that changes are seen
// only through notifications.
func startedFixture(t *testing.T, opts ...Option) *fixture {
	path := t.TempDir()
	f := &fixture{t: t, path: path}
	f.write("10.json", serviceConfig)
	f.writeVersion(1)
	f = start(t, path, append([]Option{WithRescanInterval(clock.Minute)}, opts...)...)
	f.wantVersion(1)
	return f
}

func TestChangesInPlaceAndByRenameAreProposed(t *testing.T) {
	f := startedFixture(t)
	f.writeVersion(2)
	f.wantVersion(2)
	f.write(".99.json.swp", `{"version": 3}`)
	f.write("99.json~", `{"version": 3}`)
	f.wantNoProposal()
	if err := os.Rename(filepath.Join(f.path, "99.json~"), filepath.Join(f.path, "99.json")); err != nil {
		t.Fatal(err)
	}
	p := f.wantVersion(3)
	is.New(t).Equal(string(p.Content()), `{"services":{"catalogue":{"pooled":{}}},"version":3}`)
}

func TestTouchedFilesWithEqualContentAreNotProposed(t *testing.T) {
	f := startedFixture(t)
	f.writeVersion(1)
	f.write("20.jsonc", "// nothing\n{}")
	f.wantNoProposal()
}

func TestPartiallyWrittenFilesAreNeverProposed(t *testing.T) {
	f := startedFixture(t)
	text := `{"version": 2, "services": {"bookings": {"pooled": {}}}}`
	f.write("20.json", text)
	f.writeVersion(2)
	f.wantVersion(2)
	for n := range len(text) { // each proper prefix, also the empty one
		f.write("20.json", text[:n])
		if n%20 == 0 {
			time.Sleep(40 * time.Millisecond)
		}
	}
	f.wantNoProposal()
	f.wantLog("the last valid configuration stays")
	f.write("20.json", text)
	f.wantLog("is valid again")
	f.writeVersion(3)
	f.wantVersion(3)
}

func TestInvalidFilesAreLoggedWithLineAndPath(t *testing.T) {
	f := startedFixture(t)
	f.write("20.json", "{\"services\": {\n\"catalogue\": {\"target\": {\"slots\": 0}}}}")
	f.wantLog("folder: " + filepath.Join(f.path, "20.json") + ":2: services.catalogue.target.slots: must be")
	f.wantNoProposal()
	if err := os.Remove(filepath.Join(f.path, "20.json")); err != nil {
		t.Fatal(err)
	}
	f.wantLog("is valid again")
	f.wantNoProposal()
}

func TestEmptyFolderIsNeverProposed(t *testing.T) {
	f := startedFixture(t)
	for _, name := range []string{"10.json", "99.json"} {
		if err := os.Remove(filepath.Join(f.path, name)); err != nil {
			t.Fatal(err)
		}
	}
	f.wantLog("has no .json or .jsonc file")
	f.wantNoProposal()
}

func TestFolderCreatedLaterAndReplaced(t *testing.T) {
	is := is.New(t)
	f := start(t, filepath.Join(t.TempDir(), "conf.d"))
	f.wantLog("the folder cannot be read")
	createFolder := func(version int) {
		is.NoErr(os.Mkdir(f.path, 0o700))
		f.write("10.json", serviceConfig)
		f.writeVersion(version)
	}
	createFolder(1)
	f.wantVersion(1)
	is.NoErr(os.Rename(f.path, f.path+".old"))
	createFolder(2)
	f.wantVersion(2)
	is.NoErr(os.RemoveAll(f.path))
	createFolder(3)
	f.wantVersion(3)
	is.NoErr(os.WriteFile(filepath.Join(f.path+".old", "99.json"), []byte(`{"version": 9}`), 0o600))
	f.wantNoProposal()
	f.writeVersion(4)
	f.wantVersion(4)
}

func TestUnreadableFileIsReadOnceReadable(t *testing.T) {
	f := startedFixture(t)
	link := filepath.Join(f.path, "50.json")
	if err := os.Symlink(filepath.Join(f.path, "nothing"), link); err != nil {
		t.Fatal(err)
	}
	f.wantLog("50.json:1: cannot be read: no such file or directory")
	f.write("nothing", `{"version": 2}`)
	f.writeVersion(2)
	f.wantVersion(2)
}

func TestUndecidedProposalIsDeliveredAgain(t *testing.T) {
	f := startedFixture(t)
	f.watcher.Retry()
	f.wantVersion(1)
	f.wantNoProposal()
	f.writeVersion(2)
	f.wantVersion(2)
	f.watcher.Retry()
	f.wantVersion(2)
}

func TestConstantlyChangingFolderIsStillRead(t *testing.T) {
	f := startedFixture(t)
	f.writeVersion(2)
	for end := time.Now().Add(waitTimeout); len(f.proposals) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the folder was not read while it kept changing")
		}
		f.write("notes.txt", fmt.Sprint(time.Now()))
	}
	f.wantVersion(2)
}

func TestSymlinkedFolderIsWatchedAfterTheLinkChanges(t *testing.T) {
	is := is.New(t)
	root := t.TempDir()
	link := filepath.Join(root, "conf.d")
	pointLink := func(name string, version int) {
		folder := filepath.Join(root, name)
		is.NoErr(os.Mkdir(folder, 0o700))
		f := &fixture{t: t, path: folder}
		f.write("10.json", serviceConfig)
		f.writeVersion(version)
		is.NoErr(os.Symlink(folder, link+".new"))
		is.NoErr(os.Rename(link+".new", link))
	}
	const rescan = 2 * clock.Second
	pointLink("first", 1)
	f := start(t, link, WithRescanInterval(rescan))
	f.wantVersion(1)
	pointLink("second", 2)
	f.wantVersion(2)
	begin := time.Now()
	for v := 3; v < 6; v++ { // without notifications this takes at least two rescan intervals
		f.writeVersion(v)
		f.wantVersion(uint64(v))
	}
	is.True(time.Since(begin) < rescan.Duration())
}

func TestSymlinkedFileIsReadAtTheRescan(t *testing.T) {
	is := is.New(t)
	f := startedFixture(t, WithRescanInterval(100*clock.Millisecond))
	outside := filepath.Join(t.TempDir(), "version")
	is.NoErr(os.WriteFile(outside, []byte(`{"version": 2}`), 0o600))
	is.NoErr(os.Remove(filepath.Join(f.path, "99.json")))
	is.NoErr(os.Symlink(outside, filepath.Join(f.path, "99.json")))
	f.wantVersion(2)
	is.NoErr(os.WriteFile(outside, []byte(`{"version": 33}`), 0o600))
	f.wantVersion(33)
}
