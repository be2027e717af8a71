Feature: one host at a time carries out the duties

  Scenario: whatever happens to hosts, store and clocks, no rule of the duties is broken
    # Guards against two holders with one fence, a fence that decreases, holders in the order
    # A, B, A within a lease, and two reports with different counts for one window.
    Given fleets whose hosts pause, restart, leave, and lose answers, messages and the store
    Then at most one host has a permit, and no fence, order of holders or report contradicts another

  Scenario: no window is reported twice though the store comes back from copies
    # Guards against a second report of a window, with other counts, by a holder that knows only
    # what the copy of the store holds.
    Given fleets whose store also comes back from copies, while hosts start again
    Then no window is reported with two counts, and most fleets report most windows

  Scenario: without faults every window is reported in time by one host
    # Guards against a lease that nobody takes, and reports that are left out.
    Given a fleet without faults that runs for 60 s
    Then one host reported every window within 10 s of its end

  Scenario: a lease of an earlier era of the store gives no permit, and is not taken at once
    Given a host that holds the lease, and one that has seen it end
    When the store comes back from a copy
    Then neither has a permit or writes before it has read the object
    And the holder has a permit again once it has renewed the lease
    And the other waits for a whole lease after its read
