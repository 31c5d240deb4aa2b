package vm

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

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
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	return list, nil
}
