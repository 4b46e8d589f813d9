package jsonc

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/query/picker"
	"verbenabank/verbenad/state/config"
)

// designPageSettings returns the sample settings file of the design page.
func designPageSettings(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../../../docs/DESIGN.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```jsonc\n")
	text, _, ok := strings.Cut(rest, "```")
	if !ok {
		t.Fatal("the design page has no sample settings file")
	}
	return text
}

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "secret"), []byte("0123456789abcdef\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, "verbenad.jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadsSettingsOfTheDesignPage(t *testing.T) {
	is := is.New(t)
	path := writeSettings(t, designPageSettings(t))
	s, err := Load(path)
	is.NoErr(err)
	is.Equal(s.Instance(), "catalogue-1")
	is.Equal(s.Zone(), "east-mids")
	is.Equal(s.CallersAddress().String(), "127.0.1.1:8080")
	is.Equal(s.PeersAddress().String(), "127.0.1.1:8090")
	is.Equal(s.AdminAddress().String(), "127.0.1.1:8070")
	is.Equal(len(s.Replicas()), 3)
	is.Equal(string(s.Secret()), "0123456789abcdef")
	control, ok := s.Control()
	is.True(ok)
	is.Equal(control, config.NewControl(filepath.Join(filepath.Dir(path), "data"), true))
	folder, ok := s.ConfigFolder()
	is.True(ok)
	is.Equal(folder, filepath.Join(filepath.Dir(path), "conf.d"))
	is.Equal(s.LogLevel(), config.LevelInfo)
	is.Equal(s.LogFormat(), config.Plain{})
	_, ok = s.TLS()
	is.True(!ok)
}

func TestFaultsHaveFileLineAndPath(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"unknown field", `"zone":`, `"zona": 1, "zone":`, ":3: zona: is not a known field"},
		{"name", `"catalogue-1"`, `"Catalogue 1"`, ":2: instance: must be a name"},
		{"address", `"127.0.1.1:8080"`, `"localhost:8080"`, ":5: listen.callers: must be an IP number"},
		{"same address", `"127.0.1.1:8070"`, `"127.0.1.1:8080"`, ":7: listen.admin: is the same"},
		{"no replicas", `["127.0.1.1:8090", "127.0.2.1:8090", "127.0.3.1:8090"]`, `[]`, ":9: replicas: must have"},
		{"not a replica", `["127.0.1.1:8090", `, `[`, ":11: control: is set"},
		{"replica twice", `"127.0.2.1:8090"`, `"127.0.1.1:8090"`, ":9: replicas.1: "},
		{"replica without control", `"control":`, `//`, ":9: replicas: has the address"},
		{"secret missing", `"secret",`, `"secreta",`, ":10: secret_file: names a file that cannot be read"},
		{"level", `"info"`, `"loud"`, ":13: log.level: must be"},
		{"truncated", `"log"`, `"log`, ":13: column "},
		{"balancing", `"log"`, `"balancing": {"zone_cost_ms": -1}, "log"`, ":13: balancing.zone_cost_ms: must be"},
		{"tls", `"log"`, `"tls": {"certificate": "secret", "key": "secret"}, "log"`, ":13: tls.authority: must be a path"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := writeSettings(t, strings.Replace(designPageSettings(t), c.old, c.replacement, 1))
			_, err := Load(path)
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind(), KindInvalid)
			is.Equal(len(e.Faults()), 1) // one mistake gives one fault
			if !strings.HasPrefix(err.Error(), path+c.want) {
				t.Errorf("got %q, want prefix %q", err.Error(), path+c.want)
			}
		})
	}
}

func TestBalancingHasDefaultZoneCost(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]clock.Millis{`{}`: picker.DefaultZoneCost, `{"zone_cost_ms": 20}`: 20} {
		s, err := Load(writeSettings(t, strings.Replace(designPageSettings(t), `"log"`, `"balancing": `+text+`, "log"`, 1)))
		is.NoErr(err)
		got, ok := s.ZoneCost()
		is.True(ok)
		is.Equal(got, want)
	}
	s, err := Load(writeSettings(t, designPageSettings(t)))
	is.NoErr(err)
	_, ok := s.ZoneCost()
	is.True(!ok)
}

func TestRefusesSecretsThatAreWorldReadableOrShort(t *testing.T) {
	is := is.New(t)
	path := writeSettings(t, designPageSettings(t))
	secret := filepath.Join(filepath.Dir(path), "secret")
	is.NoErr(os.Chmod(secret, 0o644))
	_, err := Load(path)
	is.True(strings.Contains(err.Error(), "secret_file: everyone on the machine can read"))
	is.NoErr(os.Chmod(secret, 0o600))
	is.NoErr(os.WriteFile(secret, []byte("short\n"), 0o600))
	_, err = Load(path)
	is.True(strings.Contains(err.Error(), "has 5 bytes and must have at least 16"))
}

func FuzzLoad(f *testing.F) {
	f.Add(`{"instance": "a", "listen": {"peers": "127.0.0.1:1"}, "replicas": [1, "x", "127.0.0.1:1"]}`)
	f.Add(`{"control": 1, "tls": [], "log": {"level": null}}`)
	f.Add("{")
	f.Fuzz(func(t *testing.T, text string) {
		path := filepath.Join(t.TempDir(), "s")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Load(path)
		if err == nil && len(s.Replicas()) == 0 {
			t.Error("settings without replicas were accepted")
		}
	})
}
