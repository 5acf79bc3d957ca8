------------------------------- MODULE Config -------------------------------
(* Acceptance of manifests by a conditional transaction on one row, and how   *)
(* they spread. Answers of the store may be lost; announcements between VMs   *)
(* may be late, doubled or lost: they stay in announced for ever.             *)
EXTENDS Naturals, FiniteSets, Sequences

CONSTANTS
  Operators, Vms, MaxVersions, MaxIncarnations,
  \* Guards: each is TRUE in the protocol, and FALSE in a variant that must fail.
  ConditionalWrite, RowMustBeAbsent, ConflictReadsSubmission, NeverGoesBack

VARIABLES
  history,     \* what the store accepted, by version: submission ids
  rows,        \* the submission rows: ids
  late,        \* transactions whose answer was lost and that may yet take effect
  operator,    \* [state, base]: what each operator knows of its submission
  inForce,     \* [version, id] at each VM
  incarnation,
  announced,   \* announcements on their way
  reverted     \* some incarnation went back to a lower version

vars == <<history, rows, late, operator, inForce, incarnation, announced, reverted>>
Nothing == [version |-> 0, id |-> 0]

Init ==
  /\ history = <<>> /\ rows = {} /\ late = {}
  /\ operator = [o \in Operators |-> [state |-> "idle", base |-> 0]]
  /\ inForce = [v \in Vms |-> Nothing]
  /\ incarnation = [v \in Vms |-> 1]
  /\ announced = {} /\ reverted = FALSE

ReadHead(o) ==
  /\ operator[o].state \in {"idle", "retry", "conflict"}
  /\ operator' = [operator EXCEPT ![o] = [state |-> "ready", base |-> Len(history)]]
  /\ UNCHANGED <<history, rows, late, inForce, incarnation, announced, reverted>>

(* One transaction: the head from base to base + 1, and the submission row, *)
(* which must be absent. *)
Holds(o, base) ==
  /\ Len(history) = base \/ ~ConditionalWrite
  /\ o \notin rows \/ ~RowMustBeAbsent
Apply(o, base) ==
  /\ history' = SubSeq(history, 1, base) \o <<o>>
  /\ rows' = rows \cup {o}

Submit(o) ==
  /\ operator[o].state = "ready" /\ operator[o].base < MaxVersions
  /\ IF Holds(o, operator[o].base)
     THEN /\ Apply(o, operator[o].base)
          /\ operator' = [operator EXCEPT ![o].state = "done"]
     ELSE /\ operator' = [operator EXCEPT ![o].state =
               IF ConflictReadsSubmission THEN "unknown" ELSE "conflict"]
          /\ UNCHANGED <<history, rows>>
  /\ UNCHANGED <<late, inForce, incarnation, announced, reverted>>

(* An answer is lost: the transaction takes effect now, later or never. *)
LoseAnswer(o) ==
  /\ operator[o].state = "ready" /\ operator[o].base < MaxVersions
  /\ late' = late \cup {<<o, operator[o].base>>}
  /\ operator' = [operator EXCEPT ![o].state = "unknown"]
  /\ UNCHANGED <<history, rows, inForce, incarnation, announced, reverted>>

TakeEffect(o, base) ==
  /\ late' = late \ {<<o, base>>}
  /\ IF Holds(o, base) THEN Apply(o, base) ELSE UNCHANGED <<history, rows>>
  /\ UNCHANGED <<operator, inForce, incarnation, announced, reverted>>

(* A lost answer is settled by the submission row. Without the row, the same  *)
(* submission is sent again; a conflict is told only when its row is absent   *)
(* and the head has moved on.                                                 *)
Settle(o) ==
  /\ operator[o].state = "unknown"
  /\ operator' = [operator EXCEPT ![o].state =
       IF o \in rows THEN "done"
       ELSE IF Len(history) > operator[o].base THEN "conflict" ELSE "retry"]
  /\ UNCHANGED <<history, rows, late, inForce, incarnation, announced, reverted>>

Take(v, head) ==
  /\ head.version > inForce[v].version \/ ~NeverGoesBack
  /\ inForce' = [inForce EXCEPT ![v] = head]
  /\ reverted' = (reverted \/ head.version < inForce[v].version)

ReadStore(v) ==
  /\ Len(history) > 0
  /\ Take(v, [version |-> Len(history), id |-> history[Len(history)]])
  /\ UNCHANGED <<history, rows, late, operator, incarnation, announced>>

Announce(v) ==
  /\ inForce[v] # Nothing
  /\ announced' = announced \cup {inForce[v]}
  /\ UNCHANGED <<history, rows, late, operator, inForce, incarnation, reverted>>

Hear(v, head) ==
  /\ head # inForce[v]
  /\ Take(v, head)
  /\ UNCHANGED <<history, rows, late, operator, incarnation, announced>>

Restart(v) ==
  /\ incarnation[v] < MaxIncarnations
  /\ incarnation' = [incarnation EXCEPT ![v] = @ + 1]
  /\ inForce' = [inForce EXCEPT ![v] = Nothing]
  /\ UNCHANGED <<history, rows, late, operator, announced, reverted>>

Next ==
  \/ \E o \in Operators : ReadHead(o) \/ Submit(o) \/ LoseAnswer(o) \/ Settle(o)
  \/ \E write \in late : TakeEffect(write[1], write[2])
  \/ \E v \in Vms : ReadStore(v) \/ Announce(v) \/ Restart(v)
  \/ \E v \in Vms : \E head \in announced : Hear(v, head)

NeverReverts == ~reverted
OnlyAccepted ==
  \A v \in Vms :
    LET head == inForce[v] IN
      \/ head = Nothing
      \/ head.version <= Len(history) /\ history[head.version] = head.id
(* Whoever was told of a conflict had not been applied, and done means done. *)
ToldTheTruth ==
  \A o \in Operators :
    /\ operator[o].state = "conflict" => o \notin rows
    /\ operator[o].state = "done" => o \in rows
AppliedOnce ==
  \A o \in Operators : Cardinality({n \in 1..Len(history) : history[n] = o}) <= 1
=============================================================================
