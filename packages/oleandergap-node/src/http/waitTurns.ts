/** Lets the event loop read what has arrived by now. */

/** Sockets are read once between two turns; data and the end of one socket need two. */
const TURNS_TO_CATCH_UP = 2;

const nextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Resolves when what has arrived is read. `turn` resolves in the next turn of the event loop. */
export const waitTurns = async (turn: () => Promise<void> = nextTurn): Promise<void> => {
    for (let count = 0; count < TURNS_TO_CATCH_UP; count++) {
        await turn();
    }
};
