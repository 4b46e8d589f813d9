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
	service = `{"services": {"catalogue": {"pooled": {}}}}`
	patient = 5 * time.Second        // for what must happen
	quiet   = 300 * time.Millisecond // for what must not happen
)

// bench is a watched folder with short spans.
type bench struct {
	t       *testing.T
	path    string
	offers  chan Proposal
	watcher *Watcher
	log     *lines
}

// lines collects log lines.
type lines struct {
	sync.Mutex
	strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.Lock()
	defer l.Unlock()
	return l.Builder.Write(p)
}

func (l *lines) has(text string) bool {
	l.Lock()
	defer l.Unlock()
	return strings.Contains(l.String(), text)
}

var _ io.Writer = (*lines)(nil)

func start(t *testing.T, path string, opts ...Option) *bench {
	b := &bench{t: t, path: path, offers: make(chan Proposal, 100), log: &lines{}}
	logger := logrus.New()
	logger.SetOutput(b.log)
	opts = append([]Option{
		WithPath(path), WithOnProposal(func(o Proposal) { b.offers <- o }), WithLog(logrus.NewEntry(logger)),
		WithSettle(20 * clock.Millisecond), WithRescan(100 * clock.Millisecond), WithRetry(20 * clock.Millisecond),
	}, opts...)
	w, stop, err := New(opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	b.watcher = w
	return b
}

func (b *bench) write(name, text string) {
	b.t.Helper()
	if err := os.WriteFile(filepath.Join(b.path, name), []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
}

func (b *bench) version(n int) { b.t.Helper(); b.write("99.json", fmt.Sprintf(`{"version": %d}`, n)) }

func (b *bench) want(version uint64) Proposal {
	b.t.Helper()
	select {
	case o := <-b.offers:
		if o.Version() != version {
			b.t.Fatalf("offered version %d, want %d", o.Version(), version)
		}
		return o
	case <-time.After(patient):
		b.t.Fatalf("version %d was not offered\n%s", version, b.log.String())
		return Proposal{}
	}
}

func (b *bench) wantNone() {
	b.t.Helper()
	select {
	case o := <-b.offers:
		b.t.Fatalf("offered version %d with %s", o.Version(), o.Content())
	case <-time.After(quiet):
	}
}

func (b *bench) wantLog(text string) {
	b.t.Helper()
	for end := time.Now().Add(patient); !b.log.has(text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("no log line with %q in\n%s", text, b.log.String())
		}
	}
}

// settled starts on a folder with a valid configuration of version 1. The
// rescan is put off, so that only notifications can tell of a change.
func settled(t *testing.T, opts ...Option) *bench {
	path := t.TempDir()
	b := &bench{t: t, path: path}
	b.write("10.json", service)
	b.version(1)
	b = start(t, path, append([]Option{WithRescan(clock.Minute)}, opts...)...)
	b.want(1)
	return b
}

func TestOffersChangesInPlaceAndByRename(t *testing.T) {
	b := settled(t)
	b.version(2)
	b.want(2)
	b.write(".99.json.swp", `{"version": 3}`)
	b.write("99.json~", `{"version": 3}`)
	b.wantNone()
	if err := os.Rename(filepath.Join(b.path, "99.json~"), filepath.Join(b.path, "99.json")); err != nil {
		t.Fatal(err)
	}
	o := b.want(3)
	is.New(t).Equal(string(o.Content()), `{"services":{"catalogue":{"pooled":{}}},"version":3}`)
}

func TestTouchedFilesWithEqualContentAreNotOffered(t *testing.T) {
	b := settled(t)
	b.version(1)
	b.write("20.jsonc", "// nothing\n{}")
	b.wantNone()
}

func TestHalfWrittenFilesAreNeverOffered(t *testing.T) {
	b := settled(t)
	text := `{"version": 2, "services": {"bookings": {"pooled": {}}}}`
	b.write("20.json", text)
	b.version(2)
	b.want(2)
	for n := range len(text) { // every shorter prefix, truncation to nothing included
		b.write("20.json", text[:n])
		if n%20 == 0 {
			time.Sleep(40 * time.Millisecond)
		}
	}
	b.wantNone()
	b.wantLog("the last valid configuration stays")
	b.write("20.json", text)
	b.wantLog("is valid again")
	b.version(3)
	b.want(3)
}

func TestInvalidFilesAreLoggedWithLineAndPath(t *testing.T) {
	b := settled(t)
	b.write("20.json", "{\"services\": {\n\"catalogue\": {\"target\": {\"slots\": 0}}}}")
	b.wantLog("folder: " + filepath.Join(b.path, "20.json") + ":2: services.catalogue.target.slots: must be")
	b.wantNone()
	if err := os.Remove(filepath.Join(b.path, "20.json")); err != nil {
		t.Fatal(err)
	}
	b.wantLog("is valid again")
	b.wantNone()
}

func TestAnEmptyFolderIsNeverOffered(t *testing.T) {
	b := settled(t)
	for _, name := range []string{"10.json", "99.json"} {
		if err := os.Remove(filepath.Join(b.path, name)); err != nil {
			t.Fatal(err)
		}
	}
	b.wantLog("has no .json or .jsonc file")
	b.wantNone()
}

func TestFolderThatComesLaterAndIsReplaced(t *testing.T) {
	is := is.New(t)
	b := start(t, filepath.Join(t.TempDir(), "conf.d"))
	b.wantLog("the folder cannot be read")
	build := func(version int) {
		is.NoErr(os.Mkdir(b.path, 0o700))
		b.write("10.json", service)
		b.version(version)
	}
	build(1)
	b.want(1)
	is.NoErr(os.Rename(b.path, b.path+".old"))
	build(2)
	b.want(2)
	is.NoErr(os.RemoveAll(b.path))
	build(3)
	b.want(3)
	is.NoErr(os.WriteFile(filepath.Join(b.path+".old", "99.json"), []byte(`{"version": 9}`), 0o600))
	b.wantNone()
	b.version(4)
	b.want(4)
}

func TestUnreadableFileIsReadOnceItIsReadable(t *testing.T) {
	b := settled(t)
	link := filepath.Join(b.path, "50.json")
	if err := os.Symlink(filepath.Join(b.path, "nothing"), link); err != nil {
		t.Fatal(err)
	}
	b.wantLog("50.json:1: cannot be read: no such file or directory")
	b.write("nothing", `{"version": 2}`)
	b.version(2)
	b.want(2)
}

func TestUndecidedOfferIsHandedOutAgain(t *testing.T) {
	b := settled(t)
	b.watcher.Retry()
	b.want(1)
	b.wantNone()
	b.version(2)
	b.want(2)
	b.watcher.Retry()
	b.want(2)
}

func TestAFolderThatNeverRestsIsStillRead(t *testing.T) {
	b := settled(t)
	b.version(2)
	for end := time.Now().Add(patient); len(b.offers) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the folder was not read while it changed")
		}
		b.write("notes.txt", fmt.Sprint(time.Now()))
	}
	b.want(2)
}

func TestFolderBehindALinkIsWatchedAfterTheLinkMoved(t *testing.T) {
	is := is.New(t)
	root := t.TempDir()
	link := filepath.Join(root, "conf.d")
	point := func(name string, version int) {
		folder := filepath.Join(root, name)
		is.NoErr(os.Mkdir(folder, 0o700))
		b := &bench{t: t, path: folder}
		b.write("10.json", service)
		b.version(version)
		is.NoErr(os.Symlink(folder, link+".new"))
		is.NoErr(os.Rename(link+".new", link))
	}
	const rescan = 2 * clock.Second
	point("first", 1)
	b := start(t, link, WithRescan(rescan))
	b.want(1)
	point("second", 2)
	b.want(2)
	begin := time.Now()
	for v := 3; v < 6; v++ { // by rescans alone this takes two spans at least
		b.version(v)
		b.want(uint64(v))
	}
	is.True(time.Since(begin) < rescan.Duration())
}

func TestFileBehindALinkIsReadAtTheRescan(t *testing.T) {
	is := is.New(t)
	b := settled(t, WithRescan(100*clock.Millisecond))
	outside := filepath.Join(t.TempDir(), "version")
	is.NoErr(os.WriteFile(outside, []byte(`{"version": 2}`), 0o600))
	is.NoErr(os.Remove(filepath.Join(b.path, "99.json")))
	is.NoErr(os.Symlink(outside, filepath.Join(b.path, "99.json")))
	b.want(2)
	is.NoErr(os.WriteFile(outside, []byte(`{"version": 33}`), 0o600))
	b.want(33)
}
