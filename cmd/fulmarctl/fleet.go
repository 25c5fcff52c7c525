package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

func newServers(o *options) *cobra.Command {
	var service, region, id string
	cmd := &cobra.Command{
		Use:     "servers",
		Short:   "Show the backend servers as one VM sees them",
		Example: "  fulmarctl servers --service pay-counter\n  fulmarctl servers --region addis -o json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			q := operator.ServersQuery{Service: fleet.Service(service), Region: fleet.Region(region), ID: fleet.ServerID(id)}
			servers, err := withClient(cmd, o, func(ctx context.Context, c *operator.Client) ([]operator.ServerStatus, error) {
				return c.Servers(ctx, q)
			})
			if err != nil {
				return err
			}
			return o.show(cmd, servers, func() table {
				t := table{head: []string{"SERVER", "SERVICE", "REGION", "ZONE", "LISTED", "STATE", "BUSY", "SLOTS", "VIEW", "SINCE", "REASON"}}
				for _, s := range servers {
					t.addRow(string(s.ID), string(s.Service), string(s.Region), string(s.Zone), s.Listed, s.State,
						str(s.InFlight), str(s.Slots), s.ViewRole, formatTime(s.StateSince), s.Reason)
				}
				return t
			})
		},
	}
	cmd.Flags().StringVar(&service, "service", "", "only this service")
	cmd.Flags().StringVar(&region, "region", "", "only this region")
	cmd.Flags().StringVar(&id, "server", "", "only this server")
	return cmd
}

func newVMs(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "vms",
		Short:   "Show the entry VMs of the fleet and the revisions that they have applied",
		Example: "  fulmarctl vms",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			vms, err := listVMs(cmd, o)
			if err != nil {
				return err
			}
			return o.show(cmd, vms, func() table {
				t := table{head: []string{"VM", "REGION", "ZONE", "LISTED", "HEARD", "DRAINING", "REVISION", "LINKS", "OPERATORS", "VERSION"}}
				for _, v := range vms {
					t.addRow(string(v.ID), string(v.Region), string(v.Zone), v.Listed, str(v.RecentlyHeard || v.Self), str(v.Draining),
						str(v.Revision), v.LinkAddr, v.OperatorAddr, v.Version)
				}
				return t
			})
		},
	}
}

func listVMs(cmd *cobra.Command, o *options) ([]operator.VMStatus, error) {
	return withClient(cmd, o, func(ctx context.Context, c *operator.Client) ([]operator.VMStatus, error) {
		return c.VMs(ctx)
	})
}

func newDrain(o *options) *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use:   "drain VM",
		Short: "Shut one VM down gracefully",
		Long: "Drain starts a graceful shutdown of one VM: the VM fails its readiness check, accepts requests until the\n" +
			"load balancer has reacted, hands its shards over, completes the requests in flight and exits. The VM's\n" +
			"address is looked up at --address.",
		Example: "  fulmarctl drain entry-addis-01 --reason 'kernel update'",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			status, err := drain(cmd, o, fleet.VMID(args[0]), reason)
			if err != nil {
				return err
			}
			return o.show(cmd, status, func() table {
				t := table{head: []string{"VM", "DRAINING", "IN FLIGHT", "SHARDS"}}
				t.addRow(args[0], str(status.Draining), str(status.InFlight), str(status.Shards))
				return t
			})
		},
	}
	cmd.Flags().StringVar(&reason, "reason", "", "reason to record in the journal")
	return cmd
}

func drain(cmd *cobra.Command, o *options, id fleet.VMID, reason string) (operator.DrainStatus, error) {
	vms, err := listVMs(cmd, o)
	if err != nil {
		return operator.DrainStatus{}, err
	}
	for _, vm := range vms {
		if vm.ID != id {
			continue
		}
		addresses := []string{vm.OperatorAddr}
		if vm.OperatorAddr == "" && vm.Self {
			addresses = o.addresses // the request names the VM, so that any other VM rejects it
		} else if vm.OperatorAddr == "" {
			return operator.DrainStatus{}, result.Errorf(result.Unreachable, "address of the operator API of %s is not known; set it with --address", id)
		}
		name := o.tlsName
		if o.tls.CA != "" {
			name = string(id) // another VM at that address must not be drained
		}
		c, err := o.newClient(o.tryTimeout, name, addresses...)
		if err != nil {
			return operator.DrainStatus{}, err
		}
		defer c.Close()
		ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
		defer cancel()
		return c.Drain(ctx, operator.DrainRequest{VM: id, Reason: reason})
	}
	return operator.DrainStatus{}, result.Errorf(result.NotFound, "VM %s is not known", id)
}
