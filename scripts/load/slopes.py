"""Prints what the VMs used between two readings of their metrics.

Usage: slopes.py TITLE DIR VMS LEADER. VMS is the number of VMs, LEADER the number
of the leading VM. DIR holds the readings of VM N: first-N.txt and second-N.txt.
"""

import re
import sys

LINE = re.compile(r"^([a-z_]+)(?:\{(.*)\})? (\S+)$")


def read(path):
    """Returns the samples of one reading as a list of (name, labels, value)."""
    samples = []
    with open(path) as lines:
        for line in lines:
            match = LINE.match(line.strip())
            if match:
                labels = dict(re.findall(r'(\w+)="([^"]*)"', match[2] or ""))
                samples.append((match[1], labels, float(match[3])))
    return samples


def total(samples, name, **want):
    """Returns the sum of the samples of a metric that have the given labels."""
    return sum(v for n, l, v in samples if n == name and all(l.get(k) == w for k, w in want.items()))


class VM:
    """The difference between two readings of one VM."""

    def __init__(self, directory, number):
        self.first = read(f"{directory}/first-{number}.txt")
        self.second = read(f"{directory}/second-{number}.txt")
        self.seconds = self.increase("slopes_read_seconds")

    def increase(self, name, **want):
        """Returns how much the sum of the samples of a metric increased."""
        return total(self.second, name, **want) - total(self.first, name, **want)

    def cpu_percent(self):
        """Returns the CPU time used, in percent of one core."""
        return 100 * self.increase("process_cpu_seconds_total") / self.seconds

    def control_rate(self, direction):
        """Returns the control bytes per second on the links of the VM."""
        return self.increase("flamingoreel_link_bytes_total", **{"class": "control", "direction": direction}) / self.seconds

    def resident_mib(self):
        """Returns the resident memory at the second reading in MiB."""
        return total(self.second, "process_resident_memory_bytes") / 2**20


def quantile(vms, name, q):
    """Interpolates a quantile in ms from the histogram buckets of all VMs."""
    bounds = sorted({float(l["le"]) for vm in vms for n, l, _ in vm.second if n == name + "_bucket"})
    counts = [(b, sum(v for vm in vms for v in [bucket_increase(vm, name, b)])) for b in bounds]
    rank, low, before = q * counts[-1][1], 0.0, 0.0
    for bound, count in counts:
        if count >= rank:
            return 1000 * (low + (bound - low) * (rank - before) / max(count - before, 1))
        low, before = bound, count
    return 1000 * low


def bucket_increase(vm, name, bound):
    """Returns how much a cumulative histogram bucket of one VM increased."""
    bucket_total = lambda samples: sum(v for n, l, v in samples if n == name + "_bucket" and float(l["le"]) == bound)
    return bucket_total(vm.second) - bucket_total(vm.first)


def write_role(name, vms):
    """Writes the mean use of the VMs of one role."""
    mean = lambda f: sum(f(vm) for vm in vms) / len(vms)
    print(f"  {name}: core {mean(VM.cpu_percent):.2f}%, control in {mean(lambda v: v.control_rate('in')):.0f} B/s"
          f" out {mean(lambda v: v.control_rate('out')):.0f} B/s, resident {mean(VM.resident_mib):.1f} MiB")


def write_nonvoter_links(vms, first):
    """Writes the control traffic (pings and hellos) between two VMs that are both non-voters."""
    rates = [vm.increase("flamingoreel_link_bytes_total", **{"class": "control", "direction": "out", "peer": f"vm-{peer}"}) / vm.seconds
             for n, vm in vms.items() if n >= first for peer in vms if peer >= first and peer != n]
    if rates:
        print(f"  between two VMs without a replica: control out {sum(rates) / len(rates):.0f} B/s each way")


def write_requests(vms):
    entry, target = "flamingoreel_entry_request_seconds", "flamingoreel_dispatcher_target_seconds"
    count = sum(vm.increase(entry + "_count") for vm in vms)
    if count == 0:
        return
    cpu = sum(vm.increase("process_cpu_seconds_total") for vm in vms)
    added = sum(vm.increase(entry + "_sum") - vm.increase(target + "_sum") for vm in vms) / count
    print(f"  requests {count:.0f}, {count / cpu:.0f} per core-second of VMs, added mean {1000 * added:.2f} ms")
    for q in (0.5, 0.99, 0.999):
        e, t = quantile(vms, entry, q), quantile(vms, target, q)
        print(f"  p{100 * q:g}: entry {e:.2f} ms, target {t:.2f} ms, difference {e - t:.2f} ms (from buckets)")
    traffic = sum(vm.increase("flamingoreel_link_bytes_total", **{"class": "traffic", "direction": "out"}) for vm in vms)
    print(f"  link traffic {traffic / count:.0f} B per request")


def main():
    title, directory, count, leader = sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4])
    vms = {n: VM(directory, n) for n in range(1, count + 1)}
    voters = 5 if count >= 5 else 3
    print(title)
    write_role("leader", [vms[leader]])
    write_role("replicas", [vms[n] for n in vms if n <= voters and n != leader])
    if count > voters:
        write_role("other VMs", [vms[n] for n in vms if n > voters])
        write_nonvoter_links(vms, voters + 1)
    write_requests(list(vms.values()))


main()
