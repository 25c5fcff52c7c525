package standin_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

func newLogAndClient(t *testing.T, control standin.LogControl, now func() time.Time) (*standin.Log, *platformapi.LogClient) {
	log := standin.NewLog(control, now)
	server := httptest.NewServer(log.Handler())
	t.Cleanup(server.Close)
	return log, platformapi.NewLogClient(server.URL, nil)
}

func errorCode(t *testing.T, err error) result.Code {
	var coded *result.Error
	require.ErrorAs(t, err, &coded)
	return coded.Code
}

// Guards against a client and a log service that disagree on offsets, size limits or
// retention.
func TestLogOverHTTP(t *testing.T) {
	now := time.Unix(1000, 0)
	log, client := newLogAndClient(t, standin.LogControl{KeepRecords: 3}, func() time.Time { return now })
	ctx := context.Background()
	for i := range 5 {
		offset, err := client.Append(ctx, "a/b", []byte{byte(i), 0xff})
		require.NoError(t, err)
		require.EqualValues(t, i, offset)
	}
	now = now.Add(time.Second)
	batch, err := client.Read(ctx, "a/b", 0, 3, false)
	require.NoError(t, err)
	require.Equal(t, platformapi.Batch{Records: []platformapi.Record{{Offset: 2, Data: []byte{2, 0xff}, AgeMS: 1000}},
		OldestOffset: 2, NextOffset: 5, KeepRecords: 3}, batch, "one record fits into 3 bytes; the read starts at the oldest offset")
	batch, err = client.Read(ctx, "other", 0, 100, false)
	require.NoError(t, err)
	require.Zero(t, batch.NextOffset)
	log.SetControl(standin.LogControl{KeepMS: 500})
	batch, err = client.Read(ctx, "a/b", 0, 100, false)
	require.NoError(t, err)
	require.EqualValues(t, 5, batch.OldestOffset, "all records are older than the retention")
}

// Guards against a long poll that misses a record, its deadline or an outage. Only the
// outage is an error.
func TestLongPoll(t *testing.T) {
	log, client := newLogAndClient(t, standin.LogControl{}, nil)
	got := make(chan platformapi.Batch)
	read := func(ctx context.Context) {
		batch, err := client.Read(ctx, "s", 0, 100, true)
		if err != nil {
			batch.NextOffset = -1
		}
		got <- batch
	}
	go read(context.Background())
	_, err := log.Append(context.Background(), "s", []byte("x"))
	require.NoError(t, err)
	require.Len(t, (<-got).Records, 1)

	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	batch, err := client.Read(ctx, "s", 1, 100, true)
	require.NoError(t, err)
	require.EqualValues(t, 1, batch.NextOffset)

	waitErr := make(chan error)
	go func() {
		_, err := client.Read(context.Background(), "t", 0, 100, true)
		waitErr <- err
	}()
	log.SetControl(standin.LogControl{Outage: true})
	require.Equal(t, result.StoreAway, errorCode(t, <-waitErr))
}

// Guards the faults that are set over HTTP: an append whose response is lost fails
// although the record is written, a delayed call times out, and calls fail during an
// outage.
func TestLogFaultsByControl(t *testing.T) {
	log := standin.NewLog(standin.LogControl{}, nil)
	server := httptest.NewServer(log.Handler())
	defer server.Close()
	client := platformapi.NewLogClient(server.URL, nil)
	control := func(body string) {
		resp, err := http.Post(server.URL+"/control", "application/json", bytes.NewBufferString(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	ctx := context.Background()
	control(`{"lose_answers":1}`)
	_, err := client.Append(ctx, "s", []byte("x"))
	require.Equal(t, result.StoreAway, errorCode(t, err))
	batch, err := client.Read(ctx, "s", 0, 10, false)
	require.NoError(t, err)
	require.Len(t, batch.Records, 1)
	control(`{"delay_ms":60000}`)
	slow, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = client.Read(slow, "s", 0, 10, false)
	require.Equal(t, result.StoreAway, errorCode(t, err))
	control(`{"delay_ms":0,"outage":true}`)
	_, err = client.Read(ctx, "s", 0, 10, false)
	require.ErrorContains(t, err, "simulated outage")
}

// Guards against a client that accepts a response that is too long or inconsistent, and
// so misses records.
func TestClientRefusesBadResponses(t *testing.T) {
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	defer server.Close()
	log, list := platformapi.NewLogClient(server.URL, nil), platformapi.NewListClient(server.URL, nil)
	for _, text := range []string{
		`{"records":[{"offset":4,"data":""}],"base":0,"next":9}`, // a gap
		`{"records":[{"offset":3,"data":""}],"base":0,"next":3}`, // beyond the end
		`{"base":5,"next":4}`, `{"records":`, string(make([]byte, 8<<20)),
	} {
		body = []byte(text)
		_, err := log.Read(context.Background(), "s", 3, 10, false)
		require.Equal(t, result.StoreAway, errorCode(t, err))
	}
	body = []byte(`{}`)
	_, err := log.Append(context.Background(), "s", nil)
	require.Error(t, err, "a response without an offset")
	for _, text := range []string{`{"vms":[{"id":"a","state":"live"},{"id":"a","state":"live"}]}`, `{"vms":[{"id":"a","state":"new"}]}`} {
		body = []byte(text)
		_, err := list.List(context.Background())
		require.Equal(t, result.StoreAway, errorCode(t, err))
	}
}

// Guards against a VM list that does not lag as configured, or whose generation does not
// rise with each change.
func TestVMListOverHTTP(t *testing.T) {
	now := time.Unix(1000, 0)
	list := standin.NewVMList(standin.ListControl{LagMS: 1000}, func() time.Time { return now })
	server := httptest.NewServer(list.Handler())
	defer server.Close()
	client := platformapi.NewListClient(server.URL, nil)
	read := func() *fleet.Directory {
		dir, err := client.List(context.Background())
		require.NoError(t, err)
		return dir
	}
	a := fleet.VM{ID: "a", Addr: "127.0.0.1:1", Region: "east", Zone: "e1", State: fleet.StateLive}
	s := fleet.Server{ID: "s", Service: "pay", Addr: "127.0.0.1:2", Region: "east", Zone: "e1", State: fleet.StateLeaving}
	list.PutVM(a)
	list.PutServer(s)
	require.Empty(t, read().VMs)
	now = now.Add(time.Second)
	require.Equal(t, fleet.NewDirectory(3, []fleet.VM{a}, []fleet.Server{s}), read())

	put, err := http.NewRequest(http.MethodPut, server.URL+"/control/vms",
		bytes.NewBufferString(`{"id":"b","addr":"127.0.0.1:3","region":"west","zone":"w1","state":"live"}`))
	require.NoError(t, err)
	put.Header.Set("Content-Type", "application/json")
	remove, err := http.NewRequest(http.MethodDelete, server.URL+"/control/vms/a", nil)
	require.NoError(t, err)
	for _, req := range []*http.Request{put, remove} {
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.Len(t, read().VMs, 1)
	now = now.Add(time.Second)
	dir := read()
	require.EqualValues(t, 5, dir.Generation)
	require.Equal(t, fleet.VMID("b"), dir.VMs[0].ID)
	list.SetControl(standin.ListControl{Outage: true})
	_, err = client.List(context.Background())
	require.Equal(t, result.StoreAway, errorCode(t, err))
}
