package vm

import (
	"context"
	"fmt"
	"net/http"

	"github.com/arbutusmill/arbutusmill/bounded"
)

// maxListBytes limits the list: 40,000 VMs of 200 bytes each.
const maxListBytes = 8 << 20

// HTTPList reads the platform's list of VMs over HTTP, as a JSON array of VM.
type HTTPList struct {
	URL    string
	Client *http.Client
}

var _ Lister = (*HTTPList)(nil)

// List implements Lister.
func (l *HTTPList) List(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.URL, nil)
	if err != nil {
		return nil, err
	}
	resp, err := l.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("VM list: status %d", resp.StatusCode)
	}
	var list []VM
	if err := bounded.DecodeJSON(resp.Body, maxListBytes, "VM list", &list); err != nil {
		return nil, err
	}
	return list, nil
}
