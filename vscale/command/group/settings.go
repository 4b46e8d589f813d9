package group

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// writeSettings writes the settings file of a replica. The group is formed by
// replicas with empty disks, so each has "form" set.
func (g *Group) writeSettings(r *Replica) error {
	type listen struct {
		Callers string `json:"callers"`
		Peers   string `json:"peers"`
		Admin   string `json:"admin"`
	}
	type control struct {
		DataFolder string `json:"data_folder"`
		Form       bool   `json:"form"`
	}
	wire := struct {
		Instance   string   `json:"instance"`
		Zone       string   `json:"zone"`
		Listen     listen   `json:"listen"`
		Replicas   []string `json:"replicas"`
		SecretFile string   `json:"secret_file"`
		Control    control  `json:"control"`
	}{
		Instance: fmt.Sprintf("control-%d", r.index+1), Zone: fmt.Sprintf("zone-%d", r.index+1),
		Listen:   listen{Callers: fmt.Sprintf("%s:%d", r.address, callersPort), Peers: r.peersAddress(), Admin: r.adminAddress()},
		Replicas: g.PeersAddresses(), SecretFile: "../secret", Control: control{DataFolder: "data", Form: true},
	}
	data, err := json.Marshal(wire)
	if err != nil {
		return fail("encode settings", NotStarted, err)
	}
	if err := os.WriteFile(filepath.Join(r.folder, "daemon.jsonc"), data, 0o644); err != nil {
		return fail("write settings", NotStarted, err)
	}
	return nil
}
