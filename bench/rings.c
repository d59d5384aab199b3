/* Compares ways to distribute the watching of workers (and request slots) over processes:
 * rendezvous hashing, consistent hashing on one ring, and on one ring per data centre, by the
 * number of assignments that a change moves and by the evenness of the shares. All figures depend
 * on hashes only and are the same in every run. Writes CSV. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/rendezvous.h"
#include "peer/grant.h"

#define MAX_MEMBERS 64
#define MAX_KEYS 4096
#define MAX_CENTRES 8
#define VIRTUAL_NODES 100
#define NO_MEMBER (-1)

/** Sets of names, and thus of hashes, that each figure is averaged over. */
#define N_WORLDS 20

struct point {
	uint64_t position;
	int32_t member;
};

struct world {
	struct dff_name members[MAX_MEMBERS];
	int32_t centres[MAX_MEMBERS];
	bool live[MAX_MEMBERS];
	int32_t n_members;
	int32_t n_centres;
	struct dff_name keys[MAX_KEYS];
	int32_t key_centres[MAX_KEYS];
	int32_t n_keys;
};

typedef int32_t (*owner_func) (const struct world *world, int32_t key);

static struct dff_str
str_of (const struct dff_name *name)
{
	struct dff_str str = {.data = name->data, .len = name->len};
	return str;
}

static int32_t
rendezvous_owner (const struct world *world, int32_t key)
{
	int32_t owner = NO_MEMBER;
	uint64_t best = 0;
	for (int32_t i = 0; i < world->n_members; i++) {
		uint64_t weight =
			dff_rendezvous_weight (str_of (&world->keys[key]), &world->members[i]);
		if (!world->live[i] || (owner != NO_MEMBER && weight <= best))
			continue;
		owner = i;
		best = weight;
	}
	return owner;
}

/* Returns: owner of the first virtual node at or after the key's position, among the live members
 * of
 * @centre; NO_MEMBER: of all centres. */
static int32_t
ring_owner (const struct world *world, int32_t key, int32_t centre)
{
	uint64_t place = XXH3_64bits (world->keys[key].data, world->keys[key].len);
	uint64_t nearest = UINT64_MAX;
	int32_t owner = NO_MEMBER;
	for (int32_t i = 0; i < world->n_members; i++) {
		if (!world->live[i] || (centre != NO_MEMBER && world->centres[i] != centre))
			continue;
		for (uint64_t node = 0; node < VIRTUAL_NODES; node++) {
			uint64_t position = XXH3_64bits_withSeed (world->members[i].data,
								  world->members[i].len, node);
			uint64_t distance = position - place;
			if (owner != NO_MEMBER && distance >= nearest)
				continue;
			owner = i;
			nearest = distance;
		}
	}
	return owner;
}

static int32_t
one_ring_owner (const struct world *world, int32_t key)
{
	return ring_owner (world, key, NO_MEMBER);
}

/* Returns: the owner on the first ring from @first that has a live member, so that only the keys of
 * a lost data centre move. */
static int32_t
ring_from (const struct world *world, int32_t key, int32_t first)
{
	for (int32_t i = 0; i < world->n_centres; i++) {
		int32_t owner = ring_owner (world, key, (first + i) % world->n_centres);
		if (owner != NO_MEMBER)
			return owner;
	}
	return NO_MEMBER;
}

/* The key's hash selects the ring, as in the paper. */
static int32_t
rings_by_hash_owner (const struct world *world, int32_t key)
{
	uint64_t hash = XXH3_64bits_withSeed (world->keys[key].data, world->keys[key].len, 1);
	return ring_from (world, key, (int32_t)(hash % (uint64_t)world->n_centres));
}

/* The worker's data centre selects the ring. */
static int32_t
rings_by_place_owner (const struct world *world, int32_t key)
{
	return ring_from (world, key, world->key_centres[key]);
}

struct scheme {
	const char *name;
	owner_func owner;
};

static const struct scheme schemes[] = {
	{"rendezvous", rendezvous_owner},
	{"one_ring", one_ring_owner},
	{"rings_by_hash", rings_by_hash_owner},
	{"rings_by_place", rings_by_place_owner},
};

static void
set_up_world (struct world *world,
	      int32_t number,
	      const int32_t *members_of,
	      int32_t n_centres,
	      int32_t n_keys)
{
	world->n_members = 0;
	world->n_centres = n_centres;
	world->n_keys = n_keys;
	for (int32_t centre = 0; centre < n_centres; centre++) {
		for (int32_t i = 0; i < members_of[centre]; i++) {
			int32_t member = world->n_members++;
			world->members[member] =
				dff_name_printf ("w%d-entry-%d-%d", number, centre, i);
			world->centres[member] = centre;
			world->live[member] = true;
		}
	}
	for (int32_t key = 0; key < n_keys; key++) {
		world->keys[key] = dff_name_printf ("w%d-worker-%d", number, key);
		world->key_centres[key] = key * n_centres / n_keys;
	}
}

static void
assign (const struct world *world, owner_func owner, int32_t *owners)
{
	for (int32_t key = 0; key < world->n_keys; key++)
		owners[key] = owner (world, key);
}

struct figures {
	double moved;
	double least;
	/** Moves to another data centre. */
	double across;
	double evenness;
};

static void
count_moves (const struct world *world,
	     const int32_t *before,
	     const int32_t *after,
	     struct figures *figures)
{
	for (int32_t key = 0; key < world->n_keys; key++) {
		if (before[key] == after[key])
			continue;
		figures->moved += 1;
		bool owner_left = !world->live[before[key]];
		figures->least += owner_left;
		figures->across += world->centres[before[key]] != world->centres[after[key]];
	}
}

static double
busiest_over_mean (const struct world *world, const int32_t *owners)
{
	int32_t load[MAX_MEMBERS] = {0};
	int32_t busiest = 0;
	for (int32_t key = 0; key < world->n_keys; key++)
		load[owners[key]]++;
	for (int32_t i = 0; i < world->n_members; i++)
		busiest = MAX (busiest, load[i]);
	return (double)busiest * world->n_members / world->n_keys;
}

/* Removes each member (for @whole, each data centre) in turn. A join moves the same keys as the
 * leave of the same member. */
static int32_t
leave_in_turn (struct world *world, owner_func owner, bool whole, struct figures *figures)
{
	static int32_t before[MAX_KEYS];
	static int32_t after[MAX_KEYS];
	assign (world, owner, before);
	figures->evenness += busiest_over_mean (world, before);
	int32_t n = whole ? world->n_centres : world->n_members;
	for (int32_t removed = 0; removed < n; removed++) {
		for (int32_t i = 0; i < world->n_members; i++)
			world->live[i] = whole ? world->centres[i] != removed : i != removed;
		assign (world, owner, after);
		count_moves (world, before, after, figures);
	}
	for (int32_t i = 0; i < world->n_members; i++)
		world->live[i] = true;
	return n;
}

static void
compare (const char *layout, const int32_t *members_of, int32_t n_centres, int32_t n_keys)
{
	static struct world world;
	for (size_t i = 0; i < G_N_ELEMENTS (schemes); i++) {
		for (int whole = 0; whole <= 1; whole++) {
			struct figures sum = {0};
			int32_t n = 0;
			for (int32_t number = 0; number < N_WORLDS; number++) {
				set_up_world (&world, number, members_of, n_centres, n_keys);
				n += leave_in_turn (&world, schemes[i].owner, whole, &sum);
			}
			printf ("%s,%d,%d,%s,%s,%.2f,%.2f,%.2f,%.2f\n", layout, world.n_members,
				n_keys, schemes[i].name, whole ? "data_centre" : "member",
				sum.moved / n, sum.least / n, sum.across / n,
				sum.evenness / N_WORLDS);
		}
	}
}

struct slot_figures {
	double same;
	double busiest;
	double workers_reached;
};

static void
add_share (const GArray *share,
	   const struct dff_grant_member *member,
	   const struct dff_grant_worker *workers,
	   struct slot_figures *figures)
{
	double slots = 0;
	for (guint i = 0; i < share->len; i++) {
		const struct dff_grant *grant = &g_array_index (share, struct dff_grant, i);
		int32_t worker = atoi (strrchr (grant->worker.data, '-') + 1);
		slots += grant->slots;
		if (dff_name_equal (&workers[worker].data_centre, &member->data_centre))
			figures->same += grant->slots;
	}
	figures->busiest = MAX (figures->busiest, slots);
	figures->workers_reached += share->len;
}

/* Distributes the slots of 50 workers with 8 each over 9 members in three data centres. */
static void
share_slots (bool prefer)
{
	struct dff_grant_member members[9];
	struct dff_grant_worker workers[50];
	struct slot_figures sum = {0};
	for (int32_t number = 0; number < N_WORLDS; number++) {
		struct dff_grant_member shared[9];
		struct slot_figures one = {0};
		for (int32_t i = 0; i < 9; i++) {
			members[i].id = dff_name_printf ("w%d-entry-%d", number, i);
			members[i].data_centre = dff_name_printf ("dc-%d", i % 3);
			shared[i] = members[i];
			if (!prefer)
				shared[i].data_centre.len = 0;
		}
		for (int32_t i = 0; i < 50; i++) {
			workers[i].id = dff_name_printf ("w%d-worker-%d", number, i);
			workers[i].data_centre = dff_name_printf ("dc-%d", i * 3 / 50);
			workers[i].slots = 8;
		}
		g_autoptr (GPtrArray) shares = dff_grants_assign (workers, 50, shared, 9);
		for (guint i = 0; i < 9; i++)
			add_share (shares->pdata[i], &members[i], workers, &one);
		sum.same += one.same / 400;
		sum.busiest += one.busiest * 9 / 400;
		sum.workers_reached += one.workers_reached / 9;
	}
	printf ("%s,%.2f,%.2f,%.1f\n", prefer ? "prefer_same_data_centre" : "no_preference",
		sum.same / N_WORLDS, sum.busiest / N_WORLDS, sum.workers_reached / N_WORLDS);
}

int
main (void)
{
	static const int32_t even[] = {3, 3, 3};
	static const int32_t uneven[] = {4, 3, 2};
	static const int32_t large[] = {8, 8, 8, 8};
	printf ("layout,members,workers,scheme,leaves,moved,least,moved_across,"
		"busiest_over_mean\n");
	compare ("even", even, 3, 50);
	compare ("uneven", uneven, 3, 50);
	compare ("large", large, 4, 360);
	printf ("\ngrants,same_data_centre,busiest_over_mean,workers_reached\n");
	share_slots (true);
	share_slots (false);
	return 0;
}
