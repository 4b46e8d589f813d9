package conf

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"verbenabank/vload/state/server"
)

const root = "../../.."

// TestExperimentsOfTheRepository checks that every experiment of the repository and
// its layout can be read, and that the layout has the services that are requested and
// three control replicas.
func TestExperimentsOfTheRepository(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob(filepath.Join(root, "experiments", "*", "*.jsonc"))
	is.NoErr(err)
	is.True(len(paths) > 0)
	for _, path := range paths {
		e, layoutPath, err := ReadExperiment(path)
		is.NoErr(err)
		l, err := ReadLayout(layoutPath)
		is.NoErr(err)
		for _, k := range e.Mix() {
			_, ok := l.Service(k.Service())
			is.True(ok) // the layout has the service
		}
		is.Equal(len(l.Replicas()), 3)
	}
}

func TestTargetSettingsRoundTrip(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), TargetFile)
	s := server.NewSettings("catalogue-1", "catalogue", "127.0.1.1:9000", "127.0.1.1:8070", "ledger",
		server.New(server.WithSlots(3, 4), server.WithFencing(server.AtStart{})))
	is.NoErr(WriteTarget(path, s))
	read, err := ReadTarget(path)
	is.NoErr(err)
	is.Equal(read, s)
}
