//! Load answered: demand whose cost per request changes with the mix of prompts and with the engines.

/// Weight that earlier observations keep with each new one.
const RETENTION: f64 = 0.995;

/// Pivot below which a coefficient can't be told from the others.
const MIN_PIVOT: f64 = 1e-9;

/// Least squares of `N` coefficients, none of them negative, over the recent observations.
#[derive(Clone, Copy, Debug)]
pub struct Regression<const N: usize> {
    prior: [f64; N],
    /// Weight of the prior of each coefficient, in squared units of its input.
    confidence: [f64; N],
    products: [[f64; N]; N],
    projections: [f64; N],
    coefficients: [f64; N],
}

impl<const N: usize> Regression<N> {
    /// Creates a regression that starts from `prior`. The weight of the prior, in squared units of the
    /// inputs, does not fade, so that inputs that never vary leave it in force.
    #[must_use]
    pub fn new(prior: [f64; N], confidence: [f64; N]) -> Self {
        Self {
            prior,
            confidence,
            products: [[0.0; N]; N],
            projections: [0.0; N],
            coefficients: prior,
        }
    }

    /// Starts from other coefficients; what was observed here stays.
    pub fn set_prior(&mut self, prior: [f64; N]) {
        self.prior = prior;
        self.solve();
    }

    /// Returns the coefficients.
    #[must_use]
    pub fn coefficients(&self) -> [f64; N] {
        self.coefficients
    }

    /// Returns the expected outcome of these inputs.
    #[must_use]
    pub fn predict(&self, inputs: [f64; N]) -> f64 {
        let terms = self.coefficients.iter().zip(inputs);
        terms.map(|(coefficient, input)| coefficient * input).sum()
    }

    /// Records the outcome of these inputs.
    pub fn record(&mut self, inputs: [f64; N], outcome: f64) {
        for (row, left) in inputs.iter().enumerate() {
            for (column, right) in inputs.iter().enumerate() {
                let product = &mut self.products[row][column];
                *product = *product * RETENTION + left * right;
            }
            self.projections[row] = self.projections[row] * RETENTION + left * outcome;
        }
        self.solve();
    }

    /// Solves the normal equations by Gaussian elimination; they are symmetric and, with the prior,
    /// positive definite, so that no pivoting is needed.
    fn solve(&mut self) {
        let mut matrix = self.products;
        let mut values = self.projections;
        for index in 0..N {
            matrix[index][index] += self.confidence[index];
            values[index] += self.confidence[index] * self.prior[index];
        }
        for pivot in 0..N {
            if matrix[pivot][pivot] < MIN_PIVOT {
                return;
            }
            let above = matrix[pivot];
            for row in pivot + 1..N {
                let factor = matrix[row][pivot] / above[pivot];
                for (cell, above) in matrix[row].iter_mut().zip(above) {
                    *cell -= factor * above;
                }
                values[row] -= factor * values[pivot];
            }
        }
        let mut solved = [0.0; N];
        for row in (0..N).rev() {
            let known: f64 = (row + 1..N).map(|c| matrix[row][c] * solved[c]).sum();
            solved[row] = ((values[row] - known) / matrix[row][row]).max(0.0);
        }
        self.coefficients = solved;
    }
}
